use {
  crate::{
    MembersView, MembershipStats,
    membership::{MembershipMessage, Reports},
  },
  arc_swap::ArcSwap,
  cactusyoke_decisions::membership::UpstreamInfo,
  cactusyoke_model::{NodeId, Revision},
  ractor::ActorRef,
  std::sync::{Arc, PoisonError},
  tokio::sync::mpsc,
};

/// Reports of newer revisions that wait for a receiver.
const MAX_REPORTS: usize = 64;

/// Access to the running membership. Clones share it.
#[derive(Clone, Debug)]
pub struct MembershipHandle {
  actor: ActorRef<MembershipMessage>,
  view: Arc<ArcSwap<MembersView>>,
  reports: Reports,
  stats: Arc<MembershipStats>,
}

impl MembershipHandle {
  pub(crate) fn new(
    actor: ActorRef<MembershipMessage>,
    view: Arc<ArcSwap<MembersView>>,
    reports: Reports,
    stats: Arc<MembershipStats>,
  ) -> Self {
    Self {
      actor,
      view,
      reports,
      stats,
    }
  }

  fn cast(&self, message: MembershipMessage) {
    if let Err(error) = self.actor.cast(message) {
      tracing::warn!(%error, "the membership has ended");
    }
  }

  /// The members as last published.
  pub fn view(&self) -> Arc<MembersView> {
    self.view.load_full()
  }

  /// Changes what this node reports of its upstream.
  pub fn set_own(&self, own: UpstreamInfo) {
    self.cast(MembershipMessage::SetOwn(own));
  }

  /// Changes the configuration revision that this node reports.
  pub fn set_revision(&self, revision: Revision) {
    self.cast(MembershipMessage::SetRevision(revision));
  }

  /// Replaces the contacts passed at the start.
  pub fn set_contacts(&self, contacts: Vec<NodeId>) {
    self.cast(MembershipMessage::SetContacts(contacts));
  }

  /// Nodes that report a higher configuration revision than this one. Reports are dropped while
  /// the receiver is full; they repeat with each datagram.
  pub fn newer_revisions(&self) -> mpsc::Receiver<(NodeId, Revision)> {
    let (sender, receiver) = mpsc::channel(MAX_REPORTS);
    let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
    reports.push(sender);
    receiver
  }

  /// Counters.
  pub fn stats(&self) -> &MembershipStats {
    &self.stats
  }

  /// Ends the membership without a report, as the end of the process would.
  pub fn abort(&self) {
    self.actor.stop(None);
  }

  /// Reports that this node leaves, then ends the membership.
  pub async fn leave(&self) {
    let left = self.actor.call(MembershipMessage::Leave, None).await;
    if let Err(error) = left {
      tracing::debug!(%error, "the membership had ended before");
    }
  }
}
