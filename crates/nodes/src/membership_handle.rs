use {
  crate::MembersView,
  arc_swap::ArcSwap,
  cactusyoke_decisions::membership::Own,
  cactusyoke_model::{NodeId, Revision},
  std::sync::Arc,
  tokio::sync::mpsc,
};

/// Access to the running membership. Clones share it.
#[derive(Clone, Debug)]
pub struct MembershipHandle {
  pub(crate) view: Arc<ArcSwap<MembersView>>,
}

impl MembershipHandle {
  /// The members as last published.
  pub fn view(&self) -> Arc<MembersView> {
    self.view.load_full()
  }

  /// Changes what this node reports of its upstream.
  pub fn set_own(&self, _own: Own) {}

  /// Changes the configuration revision that this node reports.
  pub fn set_revision(&self, _revision: Revision) {}

  /// Replaces the contacts passed at the start.
  pub fn set_contacts(&self, _contacts: Vec<NodeId>) {}

  /// Nodes that report a higher configuration revision than this one. Reports are dropped while
  /// the receiver is full.
  pub fn newer_revisions(&self) -> mpsc::Receiver<(NodeId, Revision)> {
    mpsc::channel(1).1
  }

  /// Reports that this node leaves, then ends the membership.
  pub async fn leave(&self) {}
}
