use std::fmt::{self, Display, Formatter};

/// Reason why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramError {
  /// Longer than [`super::MAX_DATAGRAM`].
  Oversized {
    /// Length, bytes.
    len: usize,
  },
  /// Datagram of another protocol version.
  Version {
    /// Version of the sender.
    peer_version: u8,
  },
  /// Not a valid datagram of this protocol.
  Malformed,
}

impl Display for DatagramError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::Oversized { len } => write!(
        f,
        "a datagram of {len} bytes exceeds the limit of {}",
        super::MAX_DATAGRAM
      ),
      Self::Version { peer_version } => write!(
        f,
        "the sender speaks version `{peer_version}` of the membership protocol and this node `{}`: run the same release on both",
        super::VERSION
      ),
      Self::Malformed => f.write_str("a datagram cannot be decoded"),
    }
  }
}

impl std::error::Error for DatagramError {}
