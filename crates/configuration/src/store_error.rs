use std::{
  error::Error,
  fmt::{self, Display, Formatter},
};

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
  /// The precondition of the write does not hold; nothing was written.
  Conflict {
    /// Current version of the key; `None` if it has no value.
    current: Option<u64>,
  },
  /// The store was unreachable, or answered that it cannot serve; nothing was written.
  Unavailable {
    /// Cause.
    cause: String,
  },
  /// No complete answer arrived; a write may have taken effect.
  TimedOut,
  /// The value exceeds the store's size limit; nothing was written.
  TooLarge,
  /// The call quota is used up; nothing was written.
  Quota,
  /// The store no longer has all changes after the requested version.
  Compacted,
  /// The lease has ended; nothing was written.
  LeaseEnded,
}

impl Display for StoreError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::Conflict {
        current: Some(version),
      } => write!(f, "the key is at version {version}: read it again"),
      Self::Conflict { current: None } => f.write_str("the key has no value: read it again"),
      Self::Unavailable { cause } => {
        write!(f, "the platform is unavailable ({cause}): try again later")
      }
      Self::TimedOut => f.write_str(
        "the platform did not answer in time: a write may have taken effect, read before repeating it",
      ),
      Self::TooLarge => {
        f.write_str("the value is larger than the platform accepts: split it or shorten it")
      }
      Self::Quota => f.write_str("the platform's call quota is used up: try again in a second"),
      Self::Compacted => f.write_str(
        "the platform no longer knows the changes since then: read everything again",
      ),
      Self::LeaseEnded => f.write_str("the lease has ended: take a new one"),
    }
  }
}

impl Error for StoreError {}
