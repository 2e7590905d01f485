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

/// The actor never waits for the network, so it answers well within this time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Handle to the actor that holds a node's copy of the configuration.
#[derive(Clone, Debug)]
pub struct Watcher {
  actor: ActorRef<WatcherMessage>,
  shared: Shared,
}

impl Watcher {
  /// Starts the actor. It reads nothing until [`Watcher::set_watching`] or [`Watcher::refresh`] is
  /// called.
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

  /// The adopted configuration, readable without waiting for the actor.
  pub const fn config(&self) -> &Arc<ArcSwap<Config>> {
    &self.shared.config
  }

  /// Subscribes to the adopted revision.
  pub fn adopted(&self) -> watch::Receiver<Revision> {
    self.shared.adopted.subscribe()
  }

  /// State of the platform as this node sees it.
  pub fn platform_status(&self) -> Arc<PlatformStatus> {
    self.shared.status.load_full()
  }

  /// Starts or stops watching the platform.
  pub fn set_watching(&self, watching: bool) {
    // Fails only if the actor has stopped, and its watch with it.
    let _ = self.actor.cast(WatcherMessage::SetWatching(watching));
  }

  /// Reads the platform once. A failure is reported in [`Watcher::platform_status`]; the read is
  /// repeated only while the node watches the platform.
  pub fn refresh(&self) {
    self.shared.refresh.notify_one();
  }

  /// Offers changes that another node has adopted; `None` if the actor has stopped.
  pub async fn offer_delta(&self, delta: ConfigDelta) -> Option<OfferResult> {
    self
      .call(|port| WatcherMessage::OfferDelta(delta, port))
      .await
  }

  /// Offers the complete configuration of another node; `None` if the actor has stopped.
  pub async fn offer_snapshot(&self, snapshot: Snapshot) -> Option<OfferResult> {
    self
      .call(|port| WatcherMessage::OfferSnapshot(snapshot, port))
      .await
  }

  /// What a node at `revision` lacks; `None` if the actor has stopped.
  pub async fn update_since(&self, revision: Revision) -> Option<ConfigUpdate> {
    self
      .call(|port| WatcherMessage::UpdateSince(revision, port))
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
    match self.actor.call(message, Some(ANSWER_TIMEOUT)).await {
      Ok(result) if result.is_success() => Some(result.unwrap()),
      Ok(_) | Err(_) => None,
    }
  }
}
