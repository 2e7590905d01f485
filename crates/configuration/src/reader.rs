//! Reads the configuration for the watcher in a task of its own, so that a slow platform does not
//! delay the offers of other nodes in the watcher's mailbox.

use {
  crate::{
    ConfigUpdate, ConfigurationError, ContentHash, HEAD_KEY, Head, Presets, RecordedEdit, Snapshot,
    Store, WatcherMessage, decode_head,
  },
  arc_swap::ArcSwap,
  cactusyoke_model::{Config, ConfigDelta, Edit, PresetName, RawPreset, Revision},
  ractor::ActorRef,
  rand::Rng,
  std::{collections::BTreeMap, sync::Arc, time::Duration},
  tokio::{
    sync::{Notify, watch},
    time::sleep,
  },
};

/// Longest wait of one watch. A connection that no longer delivers data is noticed once this wait
/// and the timeout of a call have passed, which must leave time for a change to be in force within
/// 4 s.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Every tenth read is a plain read instead of a watch, since a watch does not return when the
/// platform has reverted to an older state.
const PLAIN_READ_EVERY: u32 = 10;
/// The platform is read again within 1 s of its recovery, by at most three nodes per data centre.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Shortest backoff after the first failure; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

pub(crate) struct Reader {
  pub(crate) store: Arc<dyn Store>,
  pub(crate) config: Arc<ArcSwap<Config>>,
  pub(crate) watching: watch::Receiver<bool>,
  pub(crate) refresh: Arc<Notify>,
  pub(crate) watcher: ActorRef<WatcherMessage>,
}

/// Outcome of a read.
#[derive(Debug)]
pub(crate) enum ReadOutcome {
  /// The watch was cancelled because watching was switched off.
  Cancelled,
  /// The watch ended without a new version.
  Unchanged,
  /// The head is not behind the adopted configuration.
  Current {
    version: u64,
    update: Option<ConfigUpdate>,
  },
  /// The head is behind the revision that was adopted before the read began.
  Stale { version: u64, revision: Revision },
}

impl Reader {
  pub(crate) async fn run(mut self) {
    let mut version = 0;
    let mut failures = 0_u32;
    let mut reads = 0_u32;
    loop {
      let requested = self.next_read().await;
      let Some(requested) = requested else {
        return;
      };
      let plain = requested || failures > 0 || reads.is_multiple_of(PLAIN_READ_EVERY);
      reads = reads.wrapping_add(1);
      let result = self.read(plain, version).await;
      // A watch on a lagging replica returns at once, so it needs a backoff like a failed read.
      let should_back_off = match &result {
        Ok(ReadOutcome::Cancelled) => continue,
        Ok(ReadOutcome::Unchanged) => false,
        Ok(ReadOutcome::Current { version: found, .. }) => !plain && *found <= version,
        Ok(ReadOutcome::Stale { .. }) | Err(_) => true,
      };
      failures = if should_back_off {
        failures.saturating_add(1)
      } else {
        0
      };
      if let Ok(
        ReadOutcome::Current { version: found, .. } | ReadOutcome::Stale { version: found, .. },
      ) = &result
      {
        version = version.max(*found);
      }
      if self
        .watcher
        .cast(WatcherMessage::ReadFinished(result))
        .is_err()
      {
        return;
      }
      if failures > 0 {
        sleep(backoff(failures)).await;
      }
    }
  }

  /// Waits until a read is due: true for a requested read, false for the next watch. `None` if the
  /// watcher has stopped.
  async fn next_read(&mut self) -> Option<bool> {
    loop {
      if *self.watching.borrow_and_update() {
        return Some(false);
      }
      tokio::select! {
        changed = self.watching.changed() => changed.ok()?,
        () = self.refresh.notified() => return Some(true),
      }
    }
  }

  async fn read(&self, plain: bool, after: u64) -> Result<ReadOutcome, ConfigurationError> {
    // Taken before the read: a revision that another node offers meanwhile does not make the head
    // stale.
    let adopted = self.config.load().revision;
    let mut watching = self.watching.clone();
    let cancelled = async {
      // Fails if the watcher has stopped, which cancels the watch too.
      let _ = watching.wait_for(|watching| !watching).await;
    };
    let found = if plain {
      None
    } else {
      tokio::select! {
        found = self.store.watch(HEAD_KEY, after, WATCH_WAIT) => match found? {
          Some(found) => Some(found),
          None => return Ok(ReadOutcome::Unchanged),
        },
        // A watch counts as a call for as long as it waits, so it is ended at once.
        () = cancelled => return Ok(ReadOutcome::Cancelled),
        () = self.refresh.notified() => None,
      }
    };
    let found = match found {
      Some(found) => Some(found),
      None => self.store.get(HEAD_KEY).await?,
    };
    let (head, version) = decode_head(found)?;
    let revision = head.revision;
    if revision < adopted {
      return Ok(ReadOutcome::Stale { version, revision });
    }
    let update = self.update(&head).await?;
    Ok(ReadOutcome::Current { version, update })
  }

  /// What the node lacks: the changes if the head has all of them, otherwise a snapshot.
  async fn update(&self, head: &Head) -> Result<Option<ConfigUpdate>, ConfigurationError> {
    let config = self.config.load_full();
    if head.revision <= config.revision {
      return Ok(None);
    }
    let mut known = BTreeMap::new();
    for preset in config.presets.values() {
      known.insert(Presets::hash(preset.raw())?, preset.raw().clone());
    }
    if head.oldest_revision().0 > config.revision.0 + 1 {
      let snapshot = self.snapshot(head, &known).await?;
      return Ok(Some(ConfigUpdate::Full(snapshot)));
    }
    let mut changes = Vec::new();
    for record in &head.changes {
      if record.revision <= config.revision {
        continue;
      }
      let edit = match &record.edit {
        RecordedEdit::Use { before, after } => Edit::Use {
          before: before.clone(),
          after: after.clone(),
        },
        // Nodes already have the previous preset, so it is not included.
        RecordedEdit::Put { preset, after, .. } => Edit::Put {
          before: None,
          after: Box::new(self.preset(preset, *after, &known).await?),
        },
      };
      changes.push(record.change(edit));
    }
    Ok(Some(ConfigUpdate::Delta(ConfigDelta { changes })))
  }

  async fn snapshot(
    &self,
    head: &Head,
    known: &BTreeMap<ContentHash, RawPreset>,
  ) -> Result<Snapshot, ConfigurationError> {
    let mut presets = Vec::with_capacity(head.presets.len());
    for (name, entry) in &head.presets {
      presets.push(self.preset(name, entry.hash, known).await?);
    }
    Ok(Snapshot {
      revision: head.revision,
      in_force: head.in_force.clone(),
      presets,
    })
  }

  async fn preset(
    &self,
    name: &PresetName,
    hash: ContentHash,
    known: &BTreeMap<ContentHash, RawPreset>,
  ) -> Result<RawPreset, ConfigurationError> {
    match known.get(&hash) {
      Some(preset) => Ok(preset.clone()),
      None => Presets::new(Arc::clone(&self.store)).read(name, hash).await,
    }
  }
}

fn backoff(failures: u32) -> Duration {
  let max = INITIAL_BACKOFF
    .saturating_mul(1 << failures.min(10))
    .min(MAX_BACKOFF);
  max.mul_f64(rand::rng().random_range(0.5..=1.0))
}
