use {
  crate::wire::FrameError,
  cactusyoke_model::NodeId,
  std::{
    fmt::{self, Display, Formatter},
    io,
  },
};

/// Why a link was closed or could not be opened.
#[derive(Debug)]
pub enum LinkError {
  /// Error of the socket.
  Io(io::Error),
  /// The peer sent an invalid frame.
  Frame(FrameError),
  /// The link was closed by the peer, or by this node when idle or shut down.
  Closed,
  /// No bytes arrived within [`crate::LinksConfig::receive_timeout`].
  ReceiveTimeout,
  /// The peer does not read, and the queue of small frames is full.
  SendStalled,
  /// The connection and its handshake took too long.
  HandshakeTimeout,
  /// Another node answers at the address.
  WrongNode(NodeId),
}

impl Display for LinkError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::Io(error) => error.fmt(f),
      Self::Frame(error) => error.fmt(f),
      Self::Closed => f.write_str("the link was closed"),
      Self::ReceiveTimeout => f.write_str("no bytes arrived within the receive timeout"),
      Self::SendStalled => f.write_str("the peer does not read and the send queue is full"),
      Self::HandshakeTimeout => f.write_str("the connection and its handshake took too long"),
      Self::WrongNode(node) => write!(
        f,
        "node `{node}` answers at this address: check the addresses in the settings of both"
      ),
    }
  }
}

impl std::error::Error for LinkError {}

impl From<io::Error> for LinkError {
  fn from(error: io::Error) -> Self {
    Self::Io(error)
  }
}

impl From<FrameError> for LinkError {
  fn from(error: FrameError) -> Self {
    Self::Frame(error)
  }
}
