use {cactusyoke_model::Slots, std::time::Duration};

/// Bounds of a gate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateConfig {
  /// Calls that the upstream runs at once.
  pub slots: Slots,
  /// Longest queue, calls.
  pub max_queued: usize,
  /// Longest wait in the queue.
  pub queue_wait: Duration,
  /// Time over which the limit ramps up to the slots; zero for a warm upstream.
  pub cold_start: Duration,
  /// Lower limits than the slots are tried when latency rises. Not for upstreams whose slots are
  /// known to be right.
  pub adaptive_limit: bool,
  /// Wait of calls of requests that have been worked on, in multiples of the time that they run, that
  /// is tolerated. A request that makes many of them one after the other needs a low one, since
  /// their waits add up.
  pub nested_wait: f64,
}
