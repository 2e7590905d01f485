use {
  cactusyoke_model::NodeId,
  std::{
    fmt::{self, Display, Formatter},
    time::Duration,
  },
};

/// Why a control message got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlError {
  /// The message exceeds [`crate::MAX_CONTROL_MESSAGE`].
  Oversized {
    /// Length, bytes.
    len: usize,
  },
  /// The link to the node could not be opened or was lost.
  Connection {
    /// Node that the message was sent to.
    node: NodeId,
  },
  /// No reply arrived in time.
  Timeout {
    /// Node that the message was sent to.
    node: NodeId,
    /// Time allowed.
    after: Duration,
  },
  /// The node declined to reply.
  Declined {
    /// Node that the message was sent to.
    node: NodeId,
  },
  /// The limit of calls and control messages in flight on the link is reached.
  Busy {
    /// Node that the message was sent to.
    node: NodeId,
  },
}

impl Display for ControlError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::Oversized { len } => write!(
        f,
        "the control message has {len} bytes, more than {}: split it",
        crate::MAX_CONTROL_MESSAGE
      ),
      Self::Connection { node } => write!(
        f,
        "the link to node `{node}` cannot be opened or was lost: try another node or later"
      ),
      Self::Timeout { node, after } => write!(
        f,
        "node `{node}` did not reply within {after:?}: try another node or later"
      ),
      Self::Declined { node } => write!(
        f,
        "node `{node}` declined to reply: try another node or later"
      ),
      Self::Busy { node } => write!(
        f,
        "too many calls are in flight on the link to node `{node}`: try another node or later"
      ),
    }
  }
}

impl std::error::Error for ControlError {}
