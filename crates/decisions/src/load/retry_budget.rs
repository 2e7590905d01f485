use {
  cactusyoke_model::Priority,
  std::{
    collections::VecDeque,
    time::{Duration, Instant},
  },
};

/// Buckets of the sliding window.
const BUCKETS: u32 = 20;
/// Share of the budget up to which calls of any class may be repeated.
const OPEN_SHARE: f64 = 0.2;
/// Share of the budget from which on only calls of the most important class are repeated.
const SHARED_SHARE: f64 = 0.35;
/// Share of the budget up to which all calls of the most important class are repeated. An instance
/// sees few repeats, so that the share in use varies; the cut-off falls evenly over a wide range for
/// the instances to agree on the requests that get all of their repeats.
const TOP_SHARE: f64 = 0.45;

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

/// Bound on the repeats that an instance receives in a sliding window.
///
/// A repeat is a call of which an earlier attempt may have reached an upstream, or any call made by
/// a run that is itself a repeat. When each instance of a service keeps to the ratio and to its
/// share of the slack, so does the service as a whole. The instances see the calls of all senders,
/// so that the budget goes to the most important ones, whichever node sends them.
///
/// As the budget is used up, fewer sub-levels may use it. A request that needs several repeats has
/// the same sub-level in all its calls, so that some requests get all repeats that they need, where
/// an even spread would let nearly all fail.
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

  /// Records a repeat if the budget allows it for the priority of the call. `instances` share the
  /// slack.
  pub fn try_repeat(&mut self, priority: Priority, instances: usize, now: Instant) -> bool {
    let allowed = self.allowed(instances, now);
    let repeats = self.buckets.iter().map(|bucket| bucket.repeats);
    let used = (repeats.sum::<f64>() + 1.0) / allowed;
    let (end, narrowing) = if priority.rank().0 == 0 {
      (1.0, TOP_SHARE)
    } else {
      (SHARED_SHARE, OPEN_SHARE)
    };
    let cutoff = (end - used).max(0.0) / (end - narrowing);
    let sub_level = f64::from(priority.sub_level()) / 256.0;
    if used > end || sub_level > cutoff {
      return false;
    }
    self.record_repeat(now);
    true
  }

  fn allowed(&mut self, instances: usize, now: Instant) -> f64 {
    self.bucket(now);
    let calls = self.buckets.iter().map(|bucket| bucket.calls).sum::<f64>();
    calls * self.bounds.ratio + self.bounds.slack / instances.max(1) as f64
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
