//! Adaptation of the concurrency limit and of the admission level to what a gate measured.

use {
  super::{Gate, OUTDATED_AFTER, TICK_INTERVAL},
  crate::load::{IntervalWaits, level_controller::IntervalStats, queue::max_nested_wait},
  std::time::{Duration, Instant},
};

/// Calls that the upstream must be able to complete between two updates of the level. With fewer,
/// the level would move again before its last move takes effect.
const MIN_INTERVAL_COMPLETIONS: f64 = 4.0;
/// Longest time between two updates of the level, however few calls complete in it.
const MAX_LEVEL_INTERVAL: Duration = Duration::from_millis(250);
/// Share of the longest allowed wait that the mean wait may reach before the level falls.
const TOLERATED_SHARE: f64 = 0.5;
/// Smoothing of the utilisation, per tick.
const UTILISATION_WEIGHT: f64 = 0.1;

impl Gate {
  pub(super) fn tick(&mut self, now: Instant) {
    let elapsed = now.saturating_duration_since(self.last_tick);
    if elapsed < TICK_INTERVAL {
      return;
    }
    self.last_tick = now;
    self.limit.observe(self.in_flight, now);
    self.limit.tick(now);
    let slots = self.limit.utilisation();
    let utilisation = self
      .rate_limit
      .as_mut()
      .map_or(slots, |limit| slots.max(limit.take_utilisation(elapsed)));
    self.utilisation += (utilisation - self.utilisation) * UTILISATION_WEIGHT;
    if elapsed >= OUTDATED_AFTER && self.queue.len() == 0 {
      self.controller.reset();
    }
    if self.rate_limit.is_none() {
      self.update_level(now);
    }
  }

  /// Updates the level at the end of an interval. Not while the rate is limited: calls then wait for
  /// the stated rate, not for slots, and another instance may have room, but senders apply a level to
  /// all instances.
  fn update_level(&mut self, now: Instant) {
    let Some(capacity) = self.limit.capacity() else {
      return;
    };
    let elapsed = now.saturating_duration_since(self.level_updated);
    if elapsed < MAX_LEVEL_INTERVAL && elapsed.as_secs_f64() * capacity < MIN_INTERVAL_COMPLETIONS {
      return;
    }
    let slots = f64::from(self.limit.current());
    let run_time = slots / capacity;
    let tolerated = |wait: Duration| wait.as_secs_f64() * TOLERATED_SHARE;
    let (wait, tolerated_wait) = match self.waits.nested_mean() {
      Some(wait) => {
        let tolerated = tolerated(max_nested_wait(self.queue_wait));
        (wait, (run_time * self.nested_wait).min(tolerated))
      }
      None => (self.waits.mean(), tolerated(self.queue_wait)),
    };
    self.controller.update(&IntervalStats {
      elapsed: elapsed.as_secs_f64(),
      utilisation: self.limit.utilisation(),
      slots,
      run_time,
      run_times: &self.run_times,
      wait,
      tolerated_wait,
      nested_waits: &self.waits.nested_means(),
      queue: &self.queue,
    });
    self.begin_interval(now);
  }

  /// Begins another interval of the level.
  pub(super) fn begin_interval(&mut self, now: Instant) {
    self.level_updated = now;
    self.waits = IntervalWaits::default();
  }
}
