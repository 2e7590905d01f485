use {
  cactusyoke_model::{Incarnation, NodeId},
  serde::{Deserialize, Serialize},
  std::fmt::{self, Display, Formatter},
};

/// One process of a node: a restarted node is another one, as its grants are lost.
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
