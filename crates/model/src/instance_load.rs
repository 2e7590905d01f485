use {
  serde::{Deserialize, Serialize},
  std::time::Duration,
};

/// What a sender can expect of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceLoad {
  /// Calls in flight and waiting.
  pub outstanding: u32,
  /// Calls waiting.
  pub queued: u32,
  /// Waiting calls of requests that have been worked on already, which go first.
  pub urgent: u32,
  /// Part of the slots in use, of 255, smoothed over about a second.
  pub utilization: u8,
  /// Calls that can start at once.
  pub free_slots: u32,
  /// Time in which one call is completed when all slots are in use; zero while that is not known.
  pub completion_interval: Duration,
}

impl InstanceLoad {
  /// An instance without load.
  pub const IDLE: Self = Self {
    outstanding: 0,
    queued: 0,
    urgent: 0,
    utilization: 0,
    free_slots: 0,
    completion_interval: Duration::ZERO,
  };
}
