use {
  super::{Lane, level_controller::CLASSES},
  std::time::Duration,
};

#[derive(Clone, Copy, Debug, Default)]
struct Waits {
  started: u32,
  sum: Duration,
}

impl Waits {
  fn record(&mut self, wait: Duration) {
    self.started += 1;
    self.sum += wait;
  }

  /// Mean wait, seconds.
  fn mean(self) -> f64 {
    self.sum.as_secs_f64() / f64::from(self.started.max(1))
  }
}

/// Waits of the calls that started in an interval.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct IntervalWaits {
  all: Waits,
  /// Those of nested calls, by class.
  nested: [Waits; CLASSES],
}

impl IntervalWaits {
  pub(super) fn record(&mut self, lane: Lane, wait: Duration) {
    self.all.record(wait);
    if lane.is_nested() {
      self.nested[lane.class()].record(wait);
    }
  }

  /// Mean wait of all calls, seconds.
  pub(super) fn mean(&self) -> f64 {
    self.all.mean()
  }

  /// Mean wait of nested calls, seconds; `None` when none started.
  pub(super) fn nested_mean(&self) -> Option<f64> {
    let nested = self
      .nested
      .iter()
      .fold(Waits::default(), |sum, waits| Waits {
        started: sum.started + waits.started,
        sum: sum.sum + waits.sum,
      });
    (nested.started > 0).then(|| nested.mean())
  }

  /// Mean waits of nested calls by class, seconds.
  pub(super) fn nested_means(&self) -> [f64; CLASSES] {
    self.nested.map(Waits::mean)
  }
}
