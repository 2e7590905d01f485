use {
  cactusyoke_model::{Incarnation, NodeId},
  serde::{Deserialize, Serialize},
  std::fmt::{self, Display, Formatter},
};

/// One life of a node as a member of a roster.
///
/// The incarnation is the one with which the process started. A process that raises its
/// incarnation to refute a report of its death keeps its grants and stays the same member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
  /// Address.
  pub node: NodeId,
  /// Incarnation at the start of the process.
  pub incarnation: Incarnation,
}

impl Display for Process {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    write!(f, "{}@{}", self.node, self.incarnation)
  }
}
