use {
  crate::NodeError,
  std::{
    error::Error,
    fmt::{self, Display, Formatter},
    net::SocketAddr,
  },
};

/// Why a request to a node failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientError {
  /// The node was not reached; nothing was changed.
  Unreachable {
    /// Its address.
    node: SocketAddr,
    /// Cause.
    cause: String,
  },
  /// The connection was lost or silent before the answer was complete; a change may have been made.
  NoAnswer {
    /// Its address.
    node: SocketAddr,
  },
  /// The node refused or failed.
  Node(NodeError),
  /// The answer does not come from a node.
  BadAnswer {
    /// Its address.
    node: SocketAddr,
  },
}

impl Display for ClientError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::Unreachable { node, cause } => write!(
        f,
        "node `{node}` cannot be reached ({cause}): check `--node` or name another node"
      ),
      Self::NoAnswer { node } => write!(
        f,
        "node `{node}` did not answer, and a change may have been made: look for it with `cactusyoke audit` on another node"
      ),
      Self::Node(error) => error.fmt(f),
      Self::BadAnswer { node } => write!(
        f,
        "`{node}` does not answer as a node does: check that `--node` is an operator address"
      ),
    }
  }
}

impl Error for ClientError {}
