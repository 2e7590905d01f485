use serde::{Deserialize, Serialize};

/// How a node is kept up to date with the directory.
///
/// A substitute is a node that watches the store because its source has lost it. Nodes go on as
/// substitutes until the nodes that have to watch the store reach it again: if they relied on each
/// other, all of them would end their watches at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Freshness {
  /// Changes may be unknown: neither the store nor another node reports them.
  #[default]
  Lost,
  /// Through other nodes, from a substitute.
  PeerSubstitute,
  /// Through other nodes, from one that has to watch the store.
  Peer,
  /// Watches the store as a substitute.
  Substitute,
  /// Watches the store because it has to.
  Store,
}

impl Freshness {
  /// True when the node watches the store itself.
  pub const fn is_watching(self) -> bool {
    matches!(self, Self::Substitute | Self::Store)
  }

  /// Freshness of a node that relies on one with this freshness.
  pub(super) const fn of_follower(self) -> Self {
    match self {
      Self::Lost => Self::Lost,
      Self::PeerSubstitute | Self::Substitute => Self::PeerSubstitute,
      Self::Peer | Self::Store => Self::Peer,
    }
  }
}
