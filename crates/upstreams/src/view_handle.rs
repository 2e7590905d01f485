use {
  crate::{
    Phase, UpstreamView,
    announce::{AnnounceMessage, Announcement},
  },
  arc_swap::ArcSwap,
  ractor::ActorRef,
  std::{net::SocketAddr, sync::Arc},
  tokio::sync::watch,
};

/// Shared handle to the latest [`UpstreamView`]: requests read it without a lock, tasks watch it
/// for changes.
#[derive(Clone, Debug)]
pub struct ViewHandle {
  current: Arc<ArcSwap<UpstreamView>>,
  changes: watch::Sender<Arc<UpstreamView>>,
  actor: Option<ActorRef<AnnounceMessage>>,
}

impl ViewHandle {
  /// Handle without an announce actor: the view changes only by [`ViewHandle::publish`].
  pub fn new(view: UpstreamView) -> Self {
    let view = Arc::new(view);
    Self {
      current: Arc::new(ArcSwap::new(Arc::clone(&view))),
      changes: watch::Sender::new(view),
      actor: None,
    }
  }

  pub(crate) fn with_actor(mut self, actor: ActorRef<AnnounceMessage>) -> Self {
    self.actor = Some(actor);
    self
  }

  /// Current view.
  pub fn load(&self) -> arc_swap::Guard<Arc<UpstreamView>> {
    self.current.load()
  }

  /// Receiver of views, starting with the current one.
  pub fn watch(&self) -> watch::Receiver<Arc<UpstreamView>> {
    self.changes.subscribe()
  }

  /// Replaces the view.
  pub fn publish(&self, view: UpstreamView) {
    let view = Arc::new(view);
    self.current.store(Arc::clone(&view));
    self.changes.send_replace(view);
  }

  /// Tells the announce actor that the upstream of `announcement` is about to stop.
  pub(crate) fn report_leaving(&self, announcement: &Announcement) {
    if !matches!(self.load().phase, Phase::Draining | Phase::Gone) {
      self.tell(AnnounceMessage::Leaving(announcement.clone()));
    }
  }

  /// Tells the announce actor that the upstream refused a connection at `address`.
  pub(crate) fn report_refused(&self, address: SocketAddr) {
    if self.load().phase != Phase::Gone {
      self.tell(AnnounceMessage::Refused(address));
    }
  }

  fn tell(&self, message: AnnounceMessage) {
    let Some(actor) = &self.actor else {
      return;
    };
    if let Err(error) = actor.cast(message) {
      tracing::debug!(%error, "announce actor has stopped");
    }
  }
}
