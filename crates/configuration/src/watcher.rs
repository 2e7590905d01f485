//! Keeps a node's copy of the configuration up to date.
//!
//! The copy only moves to higher revisions, whether they come from the platform or from another
//! node. Presets are identified by content hash and the head by store version, so a stale value
//! served by the platform never reverts anything; it is reported in
//! [`PlatformStatus::stale_revision`].

use {
  crate::{
    Arguments, ConfigUpdate, OfferResult, PlatformStatus, Shared, Snapshot, Store, WatcherActor,
    WatcherMessage,
  },
  arc_swap::ArcSwap,
  cactusyoke_model::{Clock, Config, ConfigDelta, Revision},
  ractor::{Actor, ActorRef, RpcReplyPort, SpawnErr},
  std::{sync::Arc, time::Duration},
  tokio::{
    sync::{Notify, watch},
    task::JoinHandle,
  },
};

/// Time within which the actor answers; it never waits for the network.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);

/// Handle to the actor that keeps the configuration.
#[derive(Clone, Debug)]
pub struct Watcher {
  actor: ActorRef<WatcherMessage>,
  shared: Shared,
}

impl Watcher {
  /// Starts the actor. It reads nothing before [`Watcher::set_watching`] or [`Watcher::refresh`].
  pub async fn start(
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
  ) -> Result<(Self, JoinHandle<()>), SpawnErr> {
    let shared = Shared {
      config: Arc::new(ArcSwap::default()),
      status: Arc::new(ArcSwap::default()),
      adopted: watch::Sender::new(Revision::default()),
      refresh: Arc::new(Notify::new()),
    };
    let arguments = Arguments {
      store,
      clock,
      shared: shared.clone(),
    };
    let (actor, handle) = Actor::spawn(None, WatcherActor, arguments).await?;
    Ok((Self { actor, shared }, handle))
  }

  /// The adopted configuration, for readers that must not wait.
  pub const fn config(&self) -> &Arc<ArcSwap<Config>> {
    &self.shared.config
  }

  /// Changes whenever a higher revision was adopted.
  pub fn adopted(&self) -> watch::Receiver<Revision> {
    self.shared.adopted.subscribe()
  }

  /// How this node sees the platform.
  pub fn platform_status(&self) -> Arc<PlatformStatus> {
    self.shared.status.load_full()
  }

  /// Holds a watch on the platform, or ends it.
  pub fn set_watching(&self, watching: bool) {
    // A stopped actor watches nothing.
    let _ = self.actor.cast(WatcherMessage::Watch(watching));
  }

  /// Reads the platform once. A failure is reported in [`Watcher::platform_status`] and not repeated,
  /// unless a watch is held.
  pub fn refresh(&self) {
    self.shared.refresh.notify_one();
  }

  /// Offers changes that another node has adopted; `None` when the actor has stopped.
  pub async fn offer_delta(&self, delta: ConfigDelta) -> Option<OfferResult> {
    self.call(|port| WatcherMessage::Offer(delta, port)).await
  }

  /// Offers the whole configuration of another node; `None` when the actor has stopped.
  pub async fn offer_snapshot(&self, snapshot: Snapshot) -> Option<OfferResult> {
    self
      .call(|port| WatcherMessage::OfferFull(snapshot, port))
      .await
  }

  /// What a node at `revision` lacks; `None` when the actor has stopped.
  pub async fn update_since(&self, revision: Revision) -> Option<ConfigUpdate> {
    self
      .call(|port| WatcherMessage::Since(revision, port))
      .await
  }

  /// Stops the actor and its watch.
  pub fn stop(&self) {
    self.actor.stop(None);
  }

  async fn call<T: Send + 'static>(
    &self,
    message: impl FnOnce(RpcReplyPort<T>) -> WatcherMessage,
  ) -> Option<T> {
    match self.actor.call(message, Some(ANSWER_LIMIT)).await {
      Ok(result) if result.is_success() => Some(result.unwrap()),
      Ok(_) | Err(_) => None,
    }
  }
}
