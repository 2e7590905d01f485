//! Directory of nodes in the platform's store.
//!
//! Each node keeps one entry under a lease. One watch of the store delivers the entries of the
//! other nodes and the operator's document.

use {
  arc_swap::ArcSwap,
  bytes::Bytes,
  cactusyoke_configuration::{
    Event, Feed, FeedSink, Item, LeaseStore, Listing, Registration, StoreError, Watcher,
  },
  cactusyoke_decisions::membership::{
    DirectoryCache, Member, MemberRecord, Status, UpstreamInfo, UpstreamState,
  },
  cactusyoke_model::{Clock, Connections, DataCentre, Incarnation, NodeId, ServiceName, Slots},
  cactusyoke_nodes::MembersView,
  cactusyoke_platform::document,
  serde::{Deserialize, Serialize},
  std::{
    fmt,
    sync::{
      Arc, Mutex, MutexGuard, PoisonError,
      atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
  },
  tokio::{
    sync::{Notify, watch},
    task::JoinHandle,
    time::timeout,
  },
};

/// Common prefix of the keys of entries.
const KEY_PREFIX: &str = "node/";

/// Time to live of an entry. A failed node is detected by its links long before; the lease only
/// removes its entry.
const ENTRY_TTL: Duration = Duration::from_secs(4);

/// Time limit for ending the lease when the node stops.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Entry of one node as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
  incarnation: Incarnation,
  service: Option<ServiceName>,
  state: UpstreamState,
  slots: Slots,
  connections: Connections,
}

impl From<&MemberRecord> for Entry {
  fn from(record: &MemberRecord) -> Self {
    Self {
      incarnation: record.incarnation,
      service: record.service.clone(),
      state: record.state,
      slots: record.slots,
      connections: record.connections,
    }
  }
}

/// Client of the directory: keeps the entry of this node and follows those of the others.
pub(crate) struct DirectoryClient {
  /// Record of this node, and the time of the last change of its upstream's state.
  own: Mutex<(MemberRecord, Instant)>,
  cache: Mutex<DirectoryCache>,
  view: ArcSwap<MembersView>,
  clock: Arc<dyn Clock>,
  /// Sender of the value of this node's entry; `None` once the node leaves.
  entry: Mutex<Option<watch::Sender<Bytes>>>,
  /// Notified when the store has no entry of this node.
  removed: Arc<Notify>,
  key: String,
  /// Whether the last call to the store succeeded.
  reachable: AtomicBool,
  watcher: Watcher,
  /// The registration, then the feed.
  tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl fmt::Debug for DirectoryClient {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.debug_struct("DirectoryClient")
      .field("key", &self.key)
      .finish_non_exhaustive()
  }
}

impl DirectoryClient {
  /// Starts the tasks that maintain the entry of this node and watch the store.
  pub(crate) fn start(
    own: MemberRecord,
    store: Arc<dyn LeaseStore>,
    watcher: Watcher,
    clock: Arc<dyn Clock>,
  ) -> Arc<Self> {
    let key = key(&own.data_centre, own.node);
    let (entry, value) = watch::channel(encode(&own));
    let removed = Arc::<Notify>::default();
    let directory = Arc::new(Self {
      view: ArcSwap::from_pointee(MembersView::new(own.clone(), Vec::new(), Vec::new())),
      own: Mutex::new((own, clock.now())),
      cache: Mutex::default(),
      clock,
      entry: Mutex::new(Some(entry)),
      removed: Arc::clone(&removed),
      key: key.clone(),
      reachable: AtomicBool::new(true),
      watcher,
      tasks: Mutex::default(),
    });
    directory.publish();
    let registration = Registration::new(Arc::clone(&store), key, ENTRY_TTL).run(value, removed);
    let feed = Feed::new(store, String::new()).run(Arc::clone(&directory) as Arc<dyn FeedSink>);
    let tasks = vec![tokio::spawn(registration), tokio::spawn(feed)];
    *directory.lock_tasks() = tasks;
    directory
  }

  pub(crate) fn view(&self) -> Arc<MembersView> {
    self.view.load_full()
  }

  pub(crate) fn set_upstream(&self, upstream: UpstreamInfo) {
    let mut known = self.own.lock().unwrap_or_else(PoisonError::into_inner);
    let (record, since) = &mut *known;
    let state = record.state;
    if record.set_upstream(upstream) {
      if record.state != state {
        *since = self.clock.now();
      }
      let value = encode(record);
      drop(known);
      if let Some(entry) = self.lock_entry().as_ref() {
        entry.send_replace(value);
      }
      self.publish();
    }
  }

  pub(crate) fn report_unreachable(&self, node: NodeId) {
    let gone = self.lock_cache().report_unreachable(node);
    if gone {
      tracing::info!(event = "node_gone", %node, reason = "lapsed and not reached");
      self.publish();
    }
  }

  /// Removes the entry of this node.
  pub(crate) async fn leave(&self) {
    let mut tasks = std::mem::take(&mut *self.lock_tasks());
    if let Some(feed) = tasks.pop() {
      feed.abort();
    }
    // Dropping the sender makes the registration end its lease.
    drop(self.lock_entry().take());
    for registration in tasks {
      if timeout(LEAVE_TIMEOUT, registration).await.is_err() {
        tracing::info!(event = "entry_not_removed", key = self.key);
      }
    }
  }

  pub(crate) fn abort(&self) {
    for task in self.lock_tasks().drain(..) {
      task.abort();
    }
  }

  fn lock_cache(&self) -> MutexGuard<'_, DirectoryCache> {
    self.cache.lock().unwrap_or_else(PoisonError::into_inner)
  }

  fn lock_entry(&self) -> MutexGuard<'_, Option<watch::Sender<Bytes>>> {
    self.entry.lock().unwrap_or_else(PoisonError::into_inner)
  }

  fn lock_tasks(&self) -> MutexGuard<'_, Vec<JoinHandle<()>>> {
    self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Publishes the known nodes, with the current record of this node in place of the stored one.
  fn publish(&self) {
    let (own, since) = self
      .own
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
      .clone();
    let mut members = self.lock_cache().members();
    members.retain(|member| member.record.node != own.node);
    let index = members.partition_point(|member| member.record.node < own.node);
    let member = Member {
      record: own.clone(),
      status: Status::Alive,
      since,
    };
    members.insert(index, member);
    let view = MembersView::new(own, members, Vec::new());
    self.view.store(Arc::new(view));
  }

  /// Applies an item of the store; true when the known nodes have changed.
  fn apply(&self, item: &Item) -> bool {
    if item.key == document::KEY {
      self.offer_document(&item.value);
      return false;
    }
    let Some((data_centre, node)) = parse_key(&item.key) else {
      return false;
    };
    let Ok(entry) = postcard::from_bytes::<Entry>(&item.value) else {
      tracing::warn!(event = "entry_unreadable", key = item.key);
      return false;
    };
    let record = MemberRecord {
      node,
      incarnation: entry.incarnation,
      data_centre,
      service: entry.service,
      state: entry.state,
      slots: entry.slots,
      connections: entry.connections,
      version: item.version,
    };
    let now = self.clock.now();
    self.lock_cache().put(record, item.version, now)
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
    let mut changed = false;
    for item in &listing.items {
      changed |= self.apply(item);
    }
    let listed = listing.items.iter().filter_map(|item| parse_key(&item.key));
    let listed = listed.map(|(_, node)| node).collect::<Vec<_>>();
    let now = self.clock.now();
    changed |= self
      .lock_cache()
      .apply_listing(&listed, listing.store_version, now);
    if !listing.items.iter().any(|item| item.key == self.key) {
      self.removed.notify_one();
    }
    if changed {
      self.publish();
    }
  }

  fn changed(&self, event: &Event) {
    let now = self.clock.now();
    let changed = match event {
      Event::Put(item) => self.apply(item),
      Event::Removed { key, .. } if *key == self.key => {
        self.removed.notify_one();
        false
      }
      Event::Removed { key, version } => match parse_key(key) {
        Some((_, node)) => self.lock_cache().mark_unlisted(node, *version, now),
        None => false,
      },
    };
    if changed {
      self.publish();
    }
  }

  fn called(&self, result: Result<(), &StoreError>) {
    let before = self.reachable.swap(result.is_ok(), Ordering::Relaxed);
    match result {
      Ok(()) if !before => tracing::info!(event = "store_reached"),
      Err(error) if before => tracing::warn!(event = "store_lost", %error),
      Ok(()) | Err(_) => {}
    }
  }
}

fn encode(record: &MemberRecord) -> Bytes {
  // Encoding cannot fail, as the entry is plain data.
  postcard::to_stdvec(&Entry::from(record))
    .unwrap_or_default()
    .into()
}

fn key(data_centre: &DataCentre, node: NodeId) -> String {
  format!("{KEY_PREFIX}{data_centre}/{node}")
}

fn parse_key(key: &str) -> Option<(DataCentre, NodeId)> {
  let (data_centre, node) = key.strip_prefix(KEY_PREFIX)?.split_once('/')?;
  Some((data_centre.parse().ok()?, node.parse().ok()?))
}
