use std::time::{Duration, Instant};

/// What the upstream says of itself, with the time at which it said so. A hint can be stale or
/// wrong and never overrides a measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hint<T> {
  /// Reported value.
  pub value: T,
  /// When the report was received.
  pub received: Instant,
}

impl<T> Hint<T> {
  /// Age of the report.
  pub fn age(&self, now: Instant) -> Duration {
    now.saturating_duration_since(self.received)
  }
}

/// Reports of `GET /health` and `GET /load`; `None` where the upstream does not offer one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hints {
  /// Healthy, from `GET /health`.
  pub health: Option<Hint<bool>>,
  /// Calls in flight and queued, from `GET /load`.
  pub load: Option<Hint<u32>>,
}
