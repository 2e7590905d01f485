use {cactusyoke_model::Slots, std::time::Duration};

/// Bounds of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateConfig {
  /// Calls that the upstream runs at once.
  pub slots: Slots,
  /// Longest queue, calls.
  pub queue: usize,
  /// Longest wait in the queue.
  pub queue_wait: Duration,
  /// Time over which the limit ramps up to the slots; zero for a warm upstream.
  pub cold_start: Duration,
  /// Lower limits than the slots are tried when latency rises. Not for upstreams whose slots are
  /// known to be right.
  pub trials: bool,
}
