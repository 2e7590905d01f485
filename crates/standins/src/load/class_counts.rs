use {crate::load::AttemptOutcome, hdrhistogram::Histogram, std::time::Duration};

/// Largest recorded latency, microseconds; longer ones count as this.
const MAX_MICROS: u64 = 600_000_000;

/// Requests of one class by their last attempt.
#[derive(Clone, Debug)]
pub struct ClassCounts {
  /// Requests sent.
  pub sent: u64,
  /// Attempts, with the first ones.
  pub attempts: u64,
  /// Answered completely with success.
  pub answered: u64,
  /// Answered completely with another status.
  pub failed: u64,
  /// Told that they were not run.
  pub not_run: u64,
  /// Told that the outcome is unknown.
  pub unknown: u64,
  /// Connection lost or not opened.
  pub broken: u64,
  /// Given up by the caller.
  pub late: u64,
  /// Answers that looked complete and were not.
  pub corrupt: u64,
  /// Time from the scheduled start to the end of the answer, of answered requests, microseconds.
  pub latency: Histogram<u64>,
}

impl Default for ClassCounts {
  fn default() -> Self {
    Self {
      sent: 0,
      attempts: 0,
      answered: 0,
      failed: 0,
      not_run: 0,
      unknown: 0,
      broken: 0,
      late: 0,
      corrupt: 0,
      latency: Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("the bounds are valid"),
    }
  }
}

impl ClassCounts {
  /// Latency at a quantile from 0 to 1.
  pub fn quantile(&self, quantile: f64) -> Duration {
    Duration::from_micros(self.latency.value_at_quantile(quantile))
  }

  pub(crate) fn record(&mut self, outcome: AttemptOutcome, latency: Duration) {
    let count = match outcome {
      AttemptOutcome::Answered { success: true } => {
        self.latency.saturating_record(latency.as_micros() as u64);
        &mut self.answered
      }
      AttemptOutcome::Answered { success: false } => &mut self.failed,
      AttemptOutcome::NotRun => &mut self.not_run,
      AttemptOutcome::Unknown => &mut self.unknown,
      AttemptOutcome::Broken | AttemptOutcome::Unreachable => &mut self.broken,
      AttemptOutcome::Late => &mut self.late,
      AttemptOutcome::Corrupt => &mut self.corrupt,
    };
    *count += 1;
  }
}
