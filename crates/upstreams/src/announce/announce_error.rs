use {
  crate::LoopbackError,
  ractor::SpawnErr,
  std::fmt::{self, Display, Formatter},
};

/// Why announcements cannot be received.
#[derive(Debug)]
pub enum AnnounceError {
  /// The listener cannot be used.
  Listener(LoopbackError),
  /// The actor did not start.
  Actor(SpawnErr),
}

impl Display for AnnounceError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::Listener(error) => write!(f, "announcements cannot be received: {error}"),
      Self::Actor(error) => write!(f, "the announce actor did not start: {error}"),
    }
  }
}

impl std::error::Error for AnnounceError {}

impl From<LoopbackError> for AnnounceError {
  fn from(error: LoopbackError) -> Self {
    Self::Listener(error)
  }
}

impl From<SpawnErr> for AnnounceError {
  fn from(error: SpawnErr) -> Self {
    Self::Actor(error)
  }
}
