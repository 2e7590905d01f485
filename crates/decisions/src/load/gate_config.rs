use {cactusyoke_model::Slots, std::time::Duration};

/// Settings of a gate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateConfig {
  /// Concurrent calls that the upstream can run.
  pub slots: Slots,
  /// Longest queue, calls.
  pub max_queued: usize,
  /// Longest wait of a root request in the queue.
  pub queue_wait: Duration,
  /// Time over which the concurrency limit ramps up to the slots; zero for a warm upstream.
  pub cold_start: Duration,
  /// Try concurrency limits below the slots when latency rises. Off for upstreams whose slots are
  /// known to be right.
  pub adaptive_limit: bool,
  /// Tolerated mean wait of nested calls, in multiples of their run time. Low where one request
  /// makes many of them in sequence, since their waits add up.
  pub nested_wait: f64,
}
