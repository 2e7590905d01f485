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
  /// The connection failed.
  Io(io::Error),
  /// A frame could not be accepted.
  Frame(FrameError),
  /// The other side closed the connection.
  Ended,
  /// Nothing arrived for too long.
  Silent,
  /// The other side does not read.
  Stuck,
  /// No connection or greeting in time.
  Timeout,
  /// Another node answers at the address.
  WrongNode(NodeId),
}

impl Display for LinkError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::Io(error) => error.fmt(f),
      Self::Frame(error) => error.fmt(f),
      Self::Ended => f.write_str("the other side closed the connection"),
      Self::Silent => f.write_str("nothing arrived for too long"),
      Self::Stuck => f.write_str("the other side does not read"),
      Self::Timeout => f.write_str("no connection and greeting in time"),
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
