//! Takes what a node reads from the platform's store: entries of nodes and the operator's document.

use {
  crate::{directory_client::DirectoryClient, directory_entry},
  bytes::Bytes,
  cactusyoke_configuration::{Changes, Event, FeedSink, Item, Listing, StoreError},
  cactusyoke_decisions::membership::{DirectoryChange, DirectoryUpdate, MemberRecord},
  cactusyoke_platform::document,
  std::sync::atomic::Ordering,
};

impl DirectoryClient {
  /// Takes an item of the store: offers the operator's document, and returns the record in an entry.
  fn take_item(&self, item: &Item) -> Option<MemberRecord> {
    if item.key == document::KEY {
      self.offer_document(&item.value);
      return None;
    }
    let record = directory_entry::read(item);
    if record.is_none() && item.key == self.key() {
      self.restore_entry(item.version);
    }
    record
  }

  /// Offers the operator's document to the watcher. An invalid document changes nothing.
  fn offer_document(&self, value: &Bytes) {
    let snapshot = match document::read(value) {
      Ok(snapshot) => snapshot,
      Err(error) => {
        tracing::warn!(event = "document_refused", %error);
        return;
      }
    };
    if snapshot.revision <= self.watcher.config().load().revision {
      return;
    }
    let watcher = self.watcher.clone();
    tokio::spawn(async move {
      // The watcher logs the result.
      drop(watcher.offer_snapshot(snapshot).await);
    });
  }
}

impl FeedSink for DirectoryClient {
  fn listed(&self, listing: &Listing) {
    let now = self.clock.now();
    let records = listing.items.iter().filter_map(|item| self.take_item(item));
    let records = records.collect::<Vec<_>>();
    // An unreadable entry changes nothing, so its node counts as listed.
    let keys = listing.items.iter().map(|item| item.key.as_str());
    let listed = keys.filter_map(directory_entry::node).collect::<Vec<_>>();
    self.update_cache(|cache| {
      let mut changed = false;
      for record in records {
        let version = record.version;
        changed |= cache.put(record, version, now);
      }
      changed | cache.apply_listing(&listed, listing.store_version, now)
    });
  }

  fn changed(&self, changes: &Changes) {
    let read = changes.events.iter().filter_map(|event| match event {
      Event::Put(item) => self.take_item(item).map(DirectoryChange::Written),
      Event::Removed { key, version } => {
        directory_entry::node(key).map(|node| DirectoryChange::Removed(node, *version))
      }
    });
    let update = DirectoryUpdate {
      version: changes.store_version,
      complete: false,
      changes: read.collect(),
    };
    let now = self.clock.now();
    self.update_cache(|cache| cache.apply(&update, now));
  }

  fn called(&self, result: Result<(), &StoreError>) {
    let members = self.view().members().len();
    self.update_choice(|choice, now| match result {
      Ok(()) => choice.record_store(),
      Err(_) => choice.record_store_failure(members, now),
    });
    let before = self.reachable.swap(result.is_ok(), Ordering::Relaxed);
    match result {
      Ok(()) if !before => tracing::info!(event = "store_reached"),
      Err(error) if before => tracing::warn!(event = "store_lost", %error),
      Ok(()) | Err(_) => {}
    }
  }
}
