use {
  serde::{Deserialize, Serialize},
  std::time::Duration,
};

/// Load of an instance, from which senders estimate their queueing time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceLoad {
  /// Calls running or queued.
  pub outstanding: u32,
  /// Queued calls.
  pub queued: u32,
  /// Queued nested calls; they start before other queued calls.
  pub queued_nested: u32,
  /// Share of the slots in use, in units of 1/255, smoothed over about a second.
  pub utilisation: u8,
  /// Number of calls that can start immediately.
  pub free_slots: u32,
  /// Mean time between completions when all slots are in use; zero while unknown.
  pub completion_interval: Duration,
}

impl InstanceLoad {
  /// Load of an idle instance.
  pub const IDLE: Self = Self {
    outstanding: 0,
    queued: 0,
    queued_nested: 0,
    utilisation: 0,
    free_slots: 0,
    completion_interval: Duration::ZERO,
  };
}
