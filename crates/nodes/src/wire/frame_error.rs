use std::fmt::{self, Display, Formatter};

/// Why a frame cannot be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
  /// The frame is longer than [`super::MAX_FRAME`].
  Oversized {
    /// Length, bytes.
    len: usize,
  },
  /// The bytes are not a frame.
  Malformed,
  /// The first frame is not a greeting.
  MissingHello,
  /// The peer speaks another version.
  Version {
    /// Version of the peer.
    peer_version: u16,
  },
  /// The frame does not fit the state of its stream.
  UnexpectedFrame,
  /// More bytes than the credit allows.
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
      Self::UnexpectedFrame => f.write_str("a frame does not fit the state of its stream"),
      Self::CreditExceeded => f.write_str("a body exceeds its credit"),
    }
  }
}

impl std::error::Error for FrameError {}
