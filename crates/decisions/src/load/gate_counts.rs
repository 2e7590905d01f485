use {cactusyoke_model::NotRunReason, std::time::Duration};

/// Decisions of a gate about root requests or about nested calls, since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LaneCounts {
  /// Offered.
  pub offered: u32,
  /// Refused by the admission level.
  pub above_level: u32,
  /// Refused or dropped because the deadline could not be met.
  pub late: u32,
  /// Dropped after the longest allowed wait.
  pub expired: u32,
  /// Refused or dropped because the upstream limits the rate of requests.
  pub over_rate: u32,
  /// Refused or evicted because the queue was full.
  pub overflowed: u32,
  /// Started.
  pub started: u32,
  /// Sum of the waits of those that started.
  pub waited: Duration,
}

impl LaneCounts {
  /// Refused or dropped, for any reason.
  pub const fn not_run(&self) -> u32 {
    self.above_level + self.late + self.expired + self.over_rate + self.overflowed
  }

  /// Counts one that was refused when it was offered.
  pub(super) const fn record_refused(&mut self, reason: NotRunReason) {
    match reason {
      NotRunReason::Shed => self.above_level += 1,
      NotRunReason::Limit => self.over_rate += 1,
      NotRunReason::QueueFull => self.overflowed += 1,
      _ => self.late += 1,
    }
  }

  /// Counts one that was dropped from the queue.
  pub(super) const fn record_dropped(&mut self, reason: NotRunReason) {
    match reason {
      NotRunReason::Shed => self.expired += 1,
      NotRunReason::Limit => self.over_rate += 1,
      NotRunReason::Evicted => self.overflowed += 1,
      _ => self.late += 1,
    }
  }

  /// Mean wait of those that started.
  pub fn mean_wait(&self) -> Duration {
    self.waited / self.started.max(1)
  }
}

/// Decisions of a gate since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateCounts {
  /// About root requests.
  pub root: LaneCounts,
  /// About nested calls.
  pub nested: LaneCounts,
}

impl GateCounts {
  pub(super) const fn lane(&mut self, nested: bool) -> &mut LaneCounts {
    if nested {
      &mut self.nested
    } else {
      &mut self.root
    }
  }

  /// Refused or dropped, of all calls.
  pub const fn not_run(&self) -> u32 {
    self.root.not_run() + self.nested.not_run()
  }
}
