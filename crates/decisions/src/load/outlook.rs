use std::time::Duration;

/// What a sender can expect of a gate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
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
