//! The known nodes, from gossip or from the directory in the platform's store.

use {
  crate::directory_client::DirectoryClient,
  cactusyoke_decisions::membership::UpstreamInfo,
  cactusyoke_model::{NodeId, Revision},
  cactusyoke_nodes::{MembersView, MembershipHandle},
  std::sync::Arc,
  tokio::sync::mpsc,
};

/// Source of the known nodes.
#[derive(Clone, Debug)]
pub(crate) enum MemberSource {
  /// Probes and gossip between the nodes of a data centre.
  Gossip(MembershipHandle),
  /// Entries in the platform's store.
  Directory(Arc<DirectoryClient>),
}

impl MemberSource {
  /// Latest view of the nodes.
  pub(crate) fn view(&self) -> Arc<MembersView> {
    match self {
      Self::Gossip(membership) => membership.view(),
      Self::Directory(directory) => directory.view(),
    }
  }

  /// Changes what this node publishes about its upstream.
  pub(crate) fn set_upstream(&self, upstream: UpstreamInfo) {
    match self {
      Self::Gossip(membership) => membership.set_upstream(upstream),
      Self::Directory(directory) => directory.set_upstream(upstream),
    }
  }

  /// Changes the configuration revision that this node reports to the others.
  pub(crate) fn set_revision(&self, revision: Revision) {
    match self {
      Self::Gossip(membership) => membership.set_revision(revision),
      // The directory does not hold revisions; nodes notify each other of them.
      Self::Directory(_) => {}
    }
  }

  /// Receives the nodes that report a higher configuration revision than this one; `None` with the
  /// directory, where nodes notify each other instead.
  pub(crate) fn newer_revisions(&self) -> Option<mpsc::Receiver<(NodeId, Revision)>> {
    match self {
      Self::Gossip(membership) => Some(membership.newer_revisions()),
      Self::Directory(_) => None,
    }
  }

  /// Reports that a call did not reach a node.
  pub(crate) fn report_unreachable(&self, node: NodeId) {
    match self {
      // Probes detect unreachable nodes.
      Self::Gossip(_) => {}
      Self::Directory(directory) => directory.report_unreachable(node),
    }
  }

  /// Bytes of membership datagrams sent and received.
  pub(crate) fn datagram_bytes(&self) -> (u64, u64) {
    match self {
      Self::Gossip(membership) => {
        let stats = membership.stats();
        (stats.bytes_out(), stats.bytes_in())
      }
      Self::Directory(_) => (0, 0),
    }
  }

  /// Tells the other nodes that this one leaves.
  pub(crate) async fn leave(&self) {
    match self {
      Self::Gossip(membership) => membership.leave().await,
      Self::Directory(directory) => directory.leave().await,
    }
  }

  /// Stops without notice to the other nodes, as a crash would.
  pub(crate) fn abort(&self) {
    match self {
      Self::Gossip(membership) => membership.abort(),
      Self::Directory(directory) => directory.abort(),
    }
  }
}
