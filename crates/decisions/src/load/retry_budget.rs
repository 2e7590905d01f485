use std::{
  collections::VecDeque,
  time::{Duration, Instant},
};

/// Buckets of the sliding window.
const BUCKETS: u32 = 20;
/// Share of the budget that calls of all classes may use; the rest is reserved for the most
/// important class.
const UNRESERVED_SHARE: f64 = 0.35;

/// Bounds of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
  /// Repeats allowed per call in the window.
  pub ratio: f64,
  /// Additional repeats allowed in the window, for all nodes together.
  pub slack: f64,
  /// Length of the sliding window.
  pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
  since: Instant,
  calls: f64,
  repeats: f64,
}

/// Bound on the repeats that a node sends to one service in a sliding window.
///
/// A repeat is a call of which an earlier attempt may have reached an upstream, or any call made by
/// a run that is itself a repeat. When each node keeps to the ratio and to its share of the slack,
/// so do all nodes together.
#[derive(Clone, Debug)]
pub struct RetryBudget {
  bounds: RetryBounds,
  buckets: VecDeque<Bucket>,
}

impl RetryBudget {
  /// Budget without recorded calls.
  pub const fn new(bounds: RetryBounds) -> Self {
    Self {
      bounds,
      buckets: VecDeque::new(),
    }
  }

  /// Records a call that was not sent before.
  pub fn record_call(&mut self, now: Instant) {
    self.bucket(now).calls += 1.0;
  }

  /// Records a repeat that cannot be withheld, such as a call made by a repeated run.
  pub fn record_repeat(&mut self, now: Instant) {
    self.bucket(now).repeats += 1.0;
  }

  /// Records a repeat if the budget allows it. `nodes` share the slack; calls of the `top_class`
  /// may use the reserved part.
  pub fn try_repeat(&mut self, nodes: usize, top_class: bool, now: Instant) -> bool {
    let allowed = self.allowed(nodes, now) * if top_class { 1.0 } else { UNRESERVED_SHARE };
    let bucket = self.bucket(now);
    bucket.repeats += 1.0;
    let used = self
      .buckets
      .iter()
      .map(|bucket| bucket.repeats)
      .sum::<f64>();
    if used <= allowed {
      return true;
    }
    self.bucket(now).repeats -= 1.0;
    false
  }

  fn allowed(&mut self, nodes: usize, now: Instant) -> f64 {
    self.bucket(now);
    let calls = self.buckets.iter().map(|bucket| bucket.calls).sum::<f64>();
    calls * self.bounds.ratio + self.bounds.slack / nodes.max(1) as f64
  }

  /// Bucket that `now` belongs to.
  fn bucket(&mut self, now: Instant) -> &mut Bucket {
    let window = self.bounds.window;
    while self
      .buckets
      .front()
      .is_some_and(|bucket| now.saturating_duration_since(bucket.since) >= window)
    {
      self.buckets.pop_front();
    }
    let length = window / BUCKETS;
    let current = self
      .buckets
      .back()
      .is_some_and(|bucket| now.saturating_duration_since(bucket.since) < length);
    if !current {
      self.buckets.push_back(Bucket {
        since: now,
        calls: 0.0,
        repeats: 0.0,
      });
    }
    let last = self.buckets.len() - 1;
    &mut self.buckets[last]
  }
}
