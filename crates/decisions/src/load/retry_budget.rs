use std::{
  collections::VecDeque,
  time::{Duration, Instant},
};

/// Parts of the window that leave it one after the other.
const PARTS: u32 = 20;
/// Share of the budget that calls of any rank may use; the rest is for the most important one.
const SHARED: f64 = 0.35;

/// Bounds of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
  /// Repeats for each call in the window.
  pub ratio: f64,
  /// Repeats in the window beside these, of all nodes together.
  pub slack: f64,
  /// Window.
  pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Part {
  since: Instant,
  calls: f64,
  repeats: f64,
}

/// Bound on the repeats that a node sends to one service in a sliding window.
///
/// A repeat is a call that another attempt may have brought to an upstream before, and each call
/// that a repeated run makes in turn. All nodes together keep within the ratio when each does, and
/// within the slack when each uses its share.
#[derive(Clone, Debug)]
pub struct RetryBudget {
  bounds: RetryBounds,
  parts: VecDeque<Part>,
}

impl RetryBudget {
  /// Budget without calls.
  pub const fn new(bounds: RetryBounds) -> Self {
    Self {
      bounds,
      parts: VecDeque::new(),
    }
  }

  /// Counts a call that was not sent before.
  pub fn record_call(&mut self, now: Instant) {
    self.part(now).calls += 1.0;
  }

  /// Counts a repeat that cannot be withheld, such as a call of a repeated run.
  pub fn record_repeat(&mut self, now: Instant) {
    self.part(now).repeats += 1.0;
  }

  /// Takes a repeat; false when the budget is used up. `nodes` share the slack, and the most
  /// important calls may use what is kept back from the others.
  pub fn try_repeat(&mut self, nodes: usize, first: bool, now: Instant) -> bool {
    let allowed = self.allowed(nodes, now) * if first { 1.0 } else { SHARED };
    let part = self.part(now);
    part.repeats += 1.0;
    let used = self.parts.iter().map(|part| part.repeats).sum::<f64>();
    if used <= allowed {
      return true;
    }
    self.part(now).repeats -= 1.0;
    false
  }

  fn allowed(&mut self, nodes: usize, now: Instant) -> f64 {
    self.part(now);
    let calls = self.parts.iter().map(|part| part.calls).sum::<f64>();
    calls * self.bounds.ratio + self.bounds.slack / nodes.max(1) as f64
  }

  /// The part of the window to which `now` belongs.
  fn part(&mut self, now: Instant) -> &mut Part {
    let window = self.bounds.window;
    while self
      .parts
      .front()
      .is_some_and(|part| now.saturating_duration_since(part.since) >= window)
    {
      self.parts.pop_front();
    }
    let length = window / PARTS;
    let current = self
      .parts
      .back()
      .is_some_and(|part| now.saturating_duration_since(part.since) < length);
    if !current {
      self.parts.push_back(Part {
        since: now,
        calls: 0.0,
        repeats: 0.0,
      });
    }
    let last = self.parts.len() - 1;
    &mut self.parts[last]
  }
}
