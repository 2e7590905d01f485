//! What each answer tells the hops above it.

use {
  crate::{Bottleneck, InstanceLoad, Level, Retries},
  serde::{Deserialize, Serialize},
  std::time::Duration,
};

/// Load and retry allowance that travel with an answer or a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
  /// Strictest admission level met at or below the answering hop.
  pub level: Level,
  /// Load of the answering node.
  pub load: InstanceLoad,
  /// Wait of the answered call in the queue.
  pub waited: Duration,
  /// Retries of the allowance that were not spent.
  pub unused: Retries,
  /// Where the request met the least room.
  pub bottleneck: Bottleneck,
}

impl Report {
  /// Report of a hop without load: admits everything, returns nothing.
  pub const IDLE: Self = Self {
    level: Level::ALL,
    load: InstanceLoad::IDLE,
    waited: Duration::ZERO,
    unused: Retries::ZERO,
    bottleneck: Bottleneck::NONE,
  };
}
