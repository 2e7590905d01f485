use {
  serde::{Deserialize, Serialize},
  std::time::Duration,
};

/// What a sender can expect of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outlook {
  /// Calls in flight and waiting.
  pub load: u32,
  /// Calls waiting.
  pub queued: u32,
  /// Waiting calls of requests that have been worked on already, which go first.
  pub urgent: u32,
  /// Part of the slots in use, of 255, smoothed over about a second.
  pub used: u8,
  /// Calls that can start at once.
  pub room: u32,
  /// Time in which one call is completed when all slots are in use; zero while that is not known.
  pub pace: Duration,
}

impl Outlook {
  /// An instance without load.
  pub const IDLE: Self = Self {
    load: 0,
    queued: 0,
    urgent: 0,
    used: 0,
    room: 0,
    pace: Duration::ZERO,
  };
}
