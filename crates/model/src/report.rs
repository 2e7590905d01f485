//! Load feedback that each answer carries to the hops above.

use {
  crate::{Bottleneck, InstanceLoad, Level, Retries},
  serde::{Deserialize, Serialize},
  std::time::Duration,
};

/// Load and unused retry allowance, sent with each answer or refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
  /// Strictest admission level at or below the answering hop.
  pub level: Level,
  /// Load of the instance of the answering node.
  pub load: InstanceLoad,
  /// Time that the answered call spent in the queue.
  pub waited: Duration,
  /// Part of the retry allowance that was not used.
  pub unused: Retries,
  /// Most utilised service below the answering hop or at it.
  pub bottleneck: Bottleneck,
  /// Whether upstreams of the deployment state the pace of their machines.
  pub paced: bool,
}

impl Report {
  /// Report of a hop without load, which admits everything and returns no retries.
  pub const IDLE: Self = Self {
    level: Level::ALL,
    load: InstanceLoad::IDLE,
    waited: Duration::ZERO,
    unused: Retries::ZERO,
    bottleneck: Bottleneck::NONE,
    paced: false,
  };
}
