use std::fmt::{self, Display, Formatter};

/// Why a frame is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
  /// The frame is longer than [`super::MAX_FRAME`].
  Oversized {
    /// Length, bytes.
    len: usize,
  },
  /// The bytes are not a frame.
  Malformed,
  /// The first frame is not `Hello`.
  MissingHello,
  /// The peer uses another version of the protocol.
  Version {
    /// Version of the peer.
    peer_version: u16,
  },
  /// The frame is not allowed in the current state of its stream or link.
  UnexpectedFrame,
  /// The sender used or granted more flow-control credit than allowed.
  CreditExceeded,
}

impl Display for FrameError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::Oversized { len } => write!(
        f,
        "a frame of {len} bytes exceeds the limit of {}",
        super::MAX_FRAME
      ),
      Self::Malformed => f.write_str("a frame cannot be decoded"),
      Self::MissingHello => {
        f.write_str("the first frame is not `Hello`: the other side is not a node of this system")
      }
      Self::Version { peer_version } => write!(
        f,
        "the other node speaks version `{peer_version}` of the link protocol and this one `{}`: run the same release on both",
        super::VERSION
      ),
      Self::UnexpectedFrame => {
        f.write_str("a frame is not allowed in the current state of its stream or link")
      }
      Self::CreditExceeded => f.write_str("the flow-control credit of a body was exceeded"),
    }
  }
}

impl std::error::Error for FrameError {}
