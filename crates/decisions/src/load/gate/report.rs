//! What a gate reports to senders, to logs and to metrics.

use {
  super::{Gate, OUTDATED_AFTER},
  crate::load::GateCounts,
  cactusyoke_model::{InstanceLoad, Level},
  std::time::{Duration, Instant},
};

impl Gate {
  /// Admission level to report to senders.
  pub fn level(&self, now: Instant) -> Level {
    if self.queue.len() == 0 && now.saturating_duration_since(self.last_tick) >= OUTDATED_AFTER {
      return Level::ALL;
    }
    self.controller.reported_level()
  }

  /// Calls in flight and queued.
  pub fn outstanding(&self) -> u32 {
    self.in_flight + self.queued()
  }

  /// True when a call offered now would start without waiting.
  pub fn has_room(&mut self, now: Instant) -> bool {
    self.queue.len() == 0 && self.can_start(now)
  }

  /// Load to report to senders.
  pub fn load(&self) -> InstanceLoad {
    let interval = |capacity: f64| Duration::from_secs_f64(1.0 / capacity);
    let free_slots = self.limit.current().saturating_sub(self.outstanding());
    let sendable = self.rate_limit.map_or(u32::MAX, |limit| limit.available());
    InstanceLoad {
      outstanding: self.outstanding(),
      queued: self.queued(),
      queued_nested: self.queue.nested_len() as u32,
      utilisation: (self.utilisation.clamp(0.0, 1.0) * 255.0) as u8,
      free_slots: free_slots.min(sendable),
      completion_interval: self.capacity().map_or(Duration::ZERO, interval),
    }
  }

  /// Decisions since the last call of this method.
  pub fn take_counts(&mut self) -> GateCounts {
    std::mem::take(&mut self.counts)
  }

  /// Share of the concurrency limit in use, smoothed over about a second.
  pub const fn utilisation(&self) -> f64 {
    self.utilisation
  }

  /// Concurrency limit, calls.
  pub fn limit(&self) -> u32 {
    self.limit.current()
  }

  /// Calls in flight.
  pub const fn in_flight(&self) -> u32 {
    self.in_flight
  }

  /// Calls queued.
  pub fn queued(&self) -> u32 {
    self.queue.len() as u32
  }

  /// Wait of the most recently started call.
  pub const fn last_wait(&self) -> Duration {
    self.last_wait
  }

  /// Requests per second that the upstream takes, as it has stated.
  pub fn rate_limit(&self) -> Option<f64> {
    self.rate_limit.map(|limit| limit.per_second())
  }
}
