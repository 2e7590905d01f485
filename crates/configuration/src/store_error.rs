use std::{
  error::Error,
  fmt::{self, Display, Formatter},
};

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
  /// The key does not match the expectation of the write; nothing was written.
  Conflict {
    /// Version of the key; `None` when it has no value.
    current: Option<u64>,
  },
  /// The store was not reached, or answered that it cannot serve; nothing was written.
  Unavailable {
    /// Cause.
    cause: String,
  },
  /// No whole answer arrived; a write may have taken effect.
  TimedOut,
  /// The value is larger than the store accepts; nothing was written.
  TooLarge,
  /// Too many calls in a short time; nothing was written.
  Quota,
  /// The changes after the given version are no longer known.
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
