//! The nodes that this one knows, from gossip or from the platform's directory.

use {
  crate::directory::Directory,
  cactusyoke_decisions::membership::Own,
  cactusyoke_model::{NodeId, Revision},
  cactusyoke_nodes::{MembersView, MembershipHandle},
  std::sync::Arc,
  tokio::sync::mpsc,
};

/// Where the node learns of the others.
#[derive(Clone, Debug)]
pub(crate) enum Members {
  /// Probes and gossip between the nodes of a data centre.
  Gossip(MembershipHandle),
  /// Entries in the platform's store.
  Directory(Arc<Directory>),
}

impl Members {
  /// The nodes as last published.
  pub(crate) fn view(&self) -> Arc<MembersView> {
    match self {
      Self::Gossip(membership) => membership.view(),
      Self::Directory(directory) => directory.view(),
    }
  }

  /// Changes what this node tells of its upstream.
  pub(crate) fn set_own(&self, own: Own) {
    match self {
      Self::Gossip(membership) => membership.set_own(own),
      Self::Directory(directory) => directory.set_own(own),
    }
  }

  /// Changes the configuration revision that this node reports.
  pub(crate) fn set_revision(&self, revision: Revision) {
    match self {
      Self::Gossip(membership) => membership.set_revision(revision),
      // Nodes notify each other of revisions; the directory does not have them.
      Self::Directory(_) => {}
    }
  }

  /// Nodes that report a higher configuration revision than this one; `None` where they notify
  /// each other.
  pub(crate) fn newer_revisions(&self) -> Option<mpsc::Receiver<(NodeId, Revision)>> {
    match self {
      Self::Gossip(membership) => Some(membership.newer_revisions()),
      Self::Directory(_) => None,
    }
  }

  /// A call did not reach a node.
  pub(crate) fn report_unreachable(&self, node: NodeId) {
    match self {
      // Probes find out.
      Self::Gossip(_) => {}
      Self::Directory(directory) => directory.report_unreachable(node),
    }
  }

  /// Bytes of datagrams sent and received.
  pub(crate) fn datagram_bytes(&self) -> (u64, u64) {
    match self {
      Self::Gossip(membership) => {
        let stats = membership.stats();
        (stats.bytes_out(), stats.bytes_in())
      }
      Self::Directory(_) => (0, 0),
    }
  }

  /// Tells the others that this node leaves.
  pub(crate) async fn leave(&self) {
    match self {
      Self::Gossip(membership) => membership.leave().await,
      Self::Directory(directory) => directory.leave().await,
    }
  }

  /// Ends without telling anyone, as the end of the process would.
  pub(crate) fn abort(&self) {
    match self {
      Self::Gossip(membership) => membership.abort(),
      Self::Directory(directory) => directory.abort(),
    }
  }
}
