use {
  crate::load::AttemptOutcome,
  std::sync::atomic::{AtomicU64, Ordering::Relaxed},
};

/// Counts of requests by their last outcome, while the load runs.
#[derive(Debug, Default)]
pub struct Progress {
  answered: AtomicU64,
  not_run: AtomicU64,
  other: AtomicU64,
}

impl Progress {
  pub(crate) fn count(&self, outcome: AttemptOutcome) {
    let counter = match outcome {
      AttemptOutcome::Answered { success: true } => &self.answered,
      AttemptOutcome::NotRun => &self.not_run,
      _ => &self.other,
    };
    counter.fetch_add(1, Relaxed);
  }

  /// Requests answered completely, not run, and with another outcome.
  pub fn counts(&self) -> (u64, u64, u64) {
    (
      self.answered.load(Relaxed),
      self.not_run.load(Relaxed),
      self.other.load(Relaxed),
    )
  }
}
