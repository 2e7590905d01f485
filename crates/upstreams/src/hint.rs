use std::time::{Duration, Instant};

/// Value that the upstream reports about itself. It may be stale or wrong, and never overrides a
/// measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hint<T> {
  /// Reported value.
  pub value: T,
  /// Time at which it was received.
  pub received: Instant,
}

impl<T> Hint<T> {
  /// Age of the report.
  pub fn age(&self, now: Instant) -> Duration {
    now.saturating_duration_since(self.received)
  }
}

/// Results of `GET /health` and `GET /load`; `None` where the upstream does not offer one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hints {
  /// True for a successful `GET /health`.
  pub health: Option<Hint<bool>>,
  /// Calls in flight and queued, from `GET /load`.
  pub load: Option<Hint<u32>>,
}
