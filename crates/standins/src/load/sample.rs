use {crate::load::AttemptOutcome, std::time::Duration};

/// One request with its last outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
  /// Index of its class in the configuration.
  pub class_index: usize,
  /// Scheduled start, since the start of the load.
  pub scheduled: Duration,
  /// Time from the scheduled start to the last outcome.
  pub latency: Duration,
  /// Last outcome.
  pub outcome: AttemptOutcome,
}
