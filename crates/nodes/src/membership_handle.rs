use {
  crate::{
    MembersView, MembershipStats,
    membership::{MembershipMessage, RevisionSenders},
  },
  arc_swap::ArcSwap,
  cactusyoke_decisions::membership::UpstreamInfo,
  cactusyoke_model::{NodeId, Revision},
  ractor::ActorRef,
  std::sync::{Arc, PoisonError},
  tokio::sync::mpsc,
};

/// Capacity of each channel of newer revisions.
const MAX_QUEUED_REPORTS: usize = 64;

/// Handle to the running membership. Clones share it.
#[derive(Clone, Debug)]
pub struct MembershipHandle {
  actor: ActorRef<MembershipMessage>,
  view: Arc<ArcSwap<MembersView>>,
  revision_senders: RevisionSenders,
  stats: Arc<MembershipStats>,
}

impl MembershipHandle {
  pub(crate) fn new(
    actor: ActorRef<MembershipMessage>,
    view: Arc<ArcSwap<MembersView>>,
    revision_senders: RevisionSenders,
    stats: Arc<MembershipStats>,
  ) -> Self {
    Self {
      actor,
      view,
      revision_senders,
      stats,
    }
  }

  fn cast(&self, message: MembershipMessage) {
    if let Err(error) = self.actor.cast(message) {
      tracing::warn!(%error, "the membership actor has stopped");
    }
  }

  /// Latest published view of the members.
  pub fn view(&self) -> Arc<MembersView> {
    self.view.load_full()
  }

  /// Changes what this node reports about its upstream.
  pub fn set_upstream(&self, upstream: UpstreamInfo) {
    self.cast(MembershipMessage::SetUpstream(upstream));
  }

  /// Changes the configuration revision that this node reports.
  pub fn set_revision(&self, revision: Revision) {
    self.cast(MembershipMessage::SetRevision(revision));
  }

  /// Replaces the contacts from [`crate::MembershipConfig`].
  pub fn set_contacts(&self, contacts: Vec<NodeId>) {
    self.cast(MembershipMessage::SetContacts(contacts));
  }

  /// Subscribes to nodes that report a higher configuration revision than this one. Reports are
  /// dropped while the channel is full; each datagram from such a node repeats its report.
  pub fn newer_revisions(&self) -> mpsc::Receiver<(NodeId, Revision)> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_REPORTS);
    let mut revision_senders = self
      .revision_senders
      .lock()
      .unwrap_or_else(PoisonError::into_inner);
    revision_senders.push(sender);
    receiver
  }

  /// Counters of the datagrams.
  pub fn stats(&self) -> &MembershipStats {
    &self.stats
  }

  /// Stops the membership without telling the other nodes, as a crash of the process would.
  pub fn abort(&self) {
    self.actor.stop(None);
  }

  /// Tells the other nodes that this one leaves, then stops the membership.
  pub async fn leave(&self) {
    let left = self.actor.call(MembershipMessage::Leave, None).await;
    if let Err(error) = left {
      tracing::debug!(%error, "the membership actor had already stopped");
    }
  }
}
