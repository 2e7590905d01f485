//! What each answer tells the hops above it.

use {
  crate::{Level, Retries, Strain},
  serde::{Deserialize, Serialize},
  std::time::Duration,
};

/// Load and retry allowance that travel with an answer or a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
  /// Strictest admission level met at or below the answering hop.
  pub level: Level,
  /// Time since that level was measured.
  pub age: Duration,
  /// Calls in flight and queued at the answering node.
  pub load: u32,
  /// Calls waiting there.
  pub queued: u32,
  /// Waiting calls of requests that have been worked on already, which go first.
  pub urgent: u32,
  /// Part of its slots in use, of 255, smoothed over about a second.
  pub used: u8,
  /// Calls that it can start at once.
  pub room: u32,
  /// Time in which it completes one call when it is full; zero while that is not known.
  pub pace: Duration,
  /// Wait of the answered call in the queue.
  pub waited: Duration,
  /// Retries of the allowance that were not spent.
  pub unused: Retries,
  /// Where the request met the least room.
  pub strain: Strain,
}

impl Report {
  /// Report of a hop without load: admits everything, returns nothing.
  pub const IDLE: Self = Self {
    level: Level::ALL,
    age: Duration::ZERO,
    load: 0,
    queued: 0,
    urgent: 0,
    used: 0,
    room: 0,
    pace: Duration::ZERO,
    waited: Duration::ZERO,
    unused: Retries::ZERO,
    strain: Strain::NONE,
  };
}
