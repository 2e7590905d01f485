//! Directory of nodes in the platform's store.
//!
//! Each node keeps one entry under a lease. A few nodes watch the store, which delivers the entries
//! of all nodes and the operator's document; the others follow these nodes (`directory_follower`).

use {
  crate::directory_entry,
  arc_swap::ArcSwap,
  bytes::Bytes,
  cactusyoke_configuration::{Feed, LeaseStore, Registration, Watcher},
  cactusyoke_decisions::membership::{
    DirectoryCache, DirectoryUpdate, FollowerState, Freshness, Member, MemberRecord, PeerReply,
    SourceChoice, Sources, Status, UpstreamInfo,
  },
  cactusyoke_model::{Clock, NodeId},
  cactusyoke_nodes::MembersView,
  std::{
    fmt,
    sync::{
      Arc, Mutex, MutexGuard, PoisonError,
      atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
  },
  tokio::{
    sync::{Notify, watch},
    task::JoinHandle,
    time::{sleep, timeout},
  },
};

/// Time to live of an entry. A failed node is detected by its links long before; the lease only
/// removes its entry.
const ENTRY_TTL: Duration = Duration::from_secs(10);

/// Time for which a starting node waits for its upstream before it writes an entry without one.
const ANNOUNCEMENT_WAIT: Duration = Duration::from_secs(2);

/// Time between two checks whether this node has to watch the store.
const CHOICE_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit for ending the lease when the node stops.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// What a node knows of the directory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Known {
  /// Version up to which all changes are known; `None` before the first listing.
  version: Option<u64>,
  /// How the node is kept up to date.
  freshness: Freshness,
}

/// Client of the directory: keeps the entry of this node and follows those of the others.
pub(crate) struct DirectoryClient {
  /// Record of this node, and the time of the last change of its upstream's state.
  own: Mutex<(MemberRecord, Instant)>,
  cache: Mutex<DirectoryCache>,
  view: ArcSwap<MembersView>,
  pub(crate) clock: Arc<dyn Clock>,
  /// Sender of the value of this node's entry; `None` once the node leaves.
  entry: Mutex<Option<watch::Sender<Bytes>>>,
  /// Notified when the store has no entry of this node, or one of another writer.
  removed: Arc<Notify>,
  /// Version of this node's last write of its entry.
  written: Arc<AtomicU64>,
  key: String,
  /// Whether the last call to the store succeeded.
  pub(crate) reachable: AtomicBool,
  pub(crate) watcher: Watcher,
  choice: Mutex<SourceChoice>,
  /// What this node knows of the directory.
  known: watch::Sender<Known>,
  /// Notified when a source was lost, so that others may be needed.
  source_lost: Notify,
  registration: Mutex<Option<JoinHandle<()>>>,
  /// Tasks that follow the store and other nodes.
  followers: Mutex<Vec<JoinHandle<()>>>,
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
    let key = directory_entry::key(&own);
    let (entry, value) = watch::channel(directory_entry::encode(&own));
    let removed = Arc::<Notify>::default();
    let registration = Registration::new(Arc::clone(&store), key.clone(), ENTRY_TTL);
    let directory = Arc::new(Self {
      view: ArcSwap::from_pointee(MembersView::new(own.clone(), Vec::new(), Vec::new())),
      choice: Mutex::new(SourceChoice::new(own.node, clock.now())),
      own: Mutex::new((own, clock.now())),
      cache: Mutex::default(),
      clock,
      entry: Mutex::new(Some(entry)),
      removed: Arc::clone(&removed),
      written: registration.latest_version(),
      key,
      reachable: AtomicBool::new(true),
      watcher,
      known: watch::Sender::default(),
      source_lost: Notify::new(),
      registration: Mutex::default(),
      followers: Mutex::default(),
    });
    directory.publish();
    let registration = tokio::spawn(async move {
      let mut value = value;
      // Nearly all entries are written only once if the upstream announces itself first.
      drop(timeout(ANNOUNCEMENT_WAIT, value.changed()).await);
      registration.run(value, removed).await;
    });
    *lock(&directory.registration) = Some(registration);
    let following = Arc::clone(&directory).follow_store(store);
    directory.add_follower(tokio::spawn(following));
    directory
  }

  /// Watches the store whenever this node has to.
  async fn follow_store(self: Arc<Self>, store: Arc<dyn LeaseStore>) {
    let mut feed = Feed::new(store, String::new());
    let mut watching = false;
    loop {
      let sources = self.sources();
      let now = self.clock.now();
      let needed = sources.needs_store(now);
      if needed != watching {
        watching = needed;
        tracing::info!(event = "watching", watching, duty = sources.duty);
      }
      if needed {
        feed.read(self.version(), &*self).await;
        continue;
      }
      self.update_choice(|choice, _now| choice.stop_store());
      feed.pause();
      let until_turn = sources
        .store
        .map(|from| from.saturating_duration_since(now));
      let pause = until_turn.map_or(CHOICE_INTERVAL, |turn| turn.min(CHOICE_INTERVAL));
      tokio::select! {
        () = sleep(pause) => {}
        () = self.source_lost.notified() => {}
      }
    }
  }

  /// Adds a task that ends when the node leaves.
  pub(crate) fn add_follower(&self, task: JoinHandle<()>) {
    lock(&self.followers).push(task);
  }

  /// Sources of the directory that this node uses now.
  pub(crate) fn sources(&self) -> Sources {
    let now = self.clock.now();
    if lock(&self.cache).prune(now) {
      self.publish();
    }
    let view = self.view();
    let mut choice = lock(&self.choice);
    choice.retain(view.members());
    choice.choose(view.members(), now)
  }

  /// Version of the directory up to which this node knows it; `None` before the first listing.
  pub(crate) fn version(&self) -> Option<u64> {
    self.known.borrow().version
  }

  /// Waits at most `wait` until this node has news for a follower. Returns the changes of the
  /// directory and how this node is kept up to date.
  ///
  /// A new revision of the configuration is news of its own: it is adopted only after the change of
  /// the directory's version that it came with was passed on.
  pub(crate) async fn update_since(
    &self,
    follower: &FollowerState,
    wait: Duration,
  ) -> Option<(DirectoryUpdate, Freshness)> {
    let (mut known, mut adopted) = (self.known.subscribe(), self.watcher.adopted());
    let news = async {
      loop {
        let own = *known.borrow_and_update();
        let revision = *adopted.borrow_and_update();
        if follower.lacks(own.version, revision, own.freshness) {
          return;
        }
        let changed = tokio::select! {
          changed = known.changed() => changed,
          changed = adopted.changed() => changed,
        };
        if changed.is_err() {
          return;
        }
      }
    };
    drop(timeout(wait, news).await);
    // Read before the changes: they may only be newer.
    let freshness = self.known.borrow().freshness;
    let update = lock(&self.cache).update_since(follower.version)?;
    Some((update, freshness))
  }

  /// Applies what another node, asked for changes after a version, knew of the directory.
  pub(crate) fn apply_update(
    &self,
    peer: NodeId,
    after: Option<u64>,
    update: &DirectoryUpdate,
    reply: PeerReply,
  ) {
    // The changes come first, so that a node that is up to date knows them.
    self.update_cache(|cache| cache.apply(update, self.clock.now()));
    self.update_choice(|choice, now| {
      choice.record_reply(peer, after, reply, now);
    });
  }

  /// Records that another node did not answer.
  pub(crate) fn record_peer_failure(&self, peer: NodeId) {
    self.update_choice(|choice, now| choice.record_failure(peer, now));
  }

  /// Records that there is no other node to follow.
  pub(crate) fn lose_peer(&self) {
    self.update_choice(SourceChoice::lose_peer);
  }

  /// Changes the choice of sources, and publishes how this node is kept up to date.
  pub(crate) fn update_choice(&self, change: impl FnOnce(&mut SourceChoice, Instant)) {
    let mut choice = lock(&self.choice);
    change(&mut choice, self.clock.now());
    let freshness = choice.freshness();
    // Sent under the lock, so that no older state replaces a newer one.
    let before = self.known.borrow().freshness;
    if freshness == before {
      return;
    }
    self.known.send_modify(|known| known.freshness = freshness);
    drop(choice);
    if freshness == Freshness::Lost {
      tracing::warn!(event = "sources_lost", ?before);
    } else {
      tracing::info!(event = "source", ?freshness, ?before);
    }
    self.source_lost.notify_one();
  }

  /// Changes the cache and publishes the result.
  pub(crate) fn update_cache(&self, change: impl FnOnce(&mut DirectoryCache) -> bool) {
    let own = lock(&self.own).0.clone();
    let mut cache = lock(&self.cache);
    let listed = cache.is_listed(own.node);
    let changed = change(&mut cache);
    let removed = listed && !cache.is_listed(own.node);
    let stored = cache.record(own.node);
    let other = stored.map(|stored| stored.version).filter(|version| {
      let version = *version;
      stored != Some(&MemberRecord { version, ..own })
    });
    let version = cache.version();
    drop(cache);
    if let Some(version) = other {
      self.restore_entry(version);
    }
    if removed {
      self.removed.notify_one();
    }
    if changed {
      self.publish();
    }
    self.known.send_if_modified(|known| {
      let newer = version > known.version;
      known.version = version.max(known.version);
      newer
    });
  }

  /// Key of the entry of this node.
  pub(crate) fn key(&self) -> &str {
    &self.key
  }

  /// Has the entry of this node written again, which has another value at `version`. A version up to
  /// that of the last own write is older, not that of another writer.
  pub(crate) fn restore_entry(&self, version: u64) {
    let written = self.written.load(Ordering::SeqCst);
    if written > 0 && version > written {
      tracing::warn!(event = "entry_replaced", key = self.key, version);
      self.removed.notify_one();
    }
  }

  pub(crate) fn view(&self) -> Arc<MembersView> {
    self.view.load_full()
  }

  pub(crate) fn set_upstream(&self, upstream: UpstreamInfo) {
    let mut known = lock(&self.own);
    let (record, since) = &mut *known;
    let state = record.state;
    if record.set_upstream(upstream) {
      if record.state != state {
        *since = self.clock.now();
      }
      let value = directory_entry::encode(record);
      drop(known);
      if let Some(entry) = lock(&self.entry).as_ref() {
        entry.send_replace(value);
      }
      self.publish();
    }
  }

  pub(crate) fn report_unreachable(&self, node: NodeId) {
    let gone = lock(&self.cache).report_unreachable(node);
    if gone {
      tracing::info!(event = "node_gone", %node, reason = "lapsed and not reached");
      self.publish();
    }
  }

  /// Removes the entry of this node.
  pub(crate) async fn leave(&self) {
    self.stop_followers();
    // Dropping the sender makes the registration end its lease.
    drop(lock(&self.entry).take());
    let registration = lock(&self.registration).take();
    if let Some(registration) = registration
      && timeout(LEAVE_TIMEOUT, registration).await.is_err()
    {
      tracing::info!(event = "entry_not_removed", key = self.key);
    }
  }

  pub(crate) fn abort(&self) {
    self.stop_followers();
    if let Some(registration) = lock(&self.registration).take() {
      registration.abort();
    }
  }

  fn stop_followers(&self) {
    for task in lock(&self.followers).drain(..) {
      task.abort();
    }
  }

  /// Publishes the known nodes, with the current record of this node in place of the stored one.
  fn publish(&self) {
    // Held until the view is stored, so that no older view replaces a newer one.
    let cache = lock(&self.cache);
    let (own, since) = lock(&self.own).clone();
    let mut members = cache.members();
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
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
