use {
  cactusyoke_model::NotRunReason,
  std::{
    array,
    sync::atomic::{AtomicU64, Ordering::Relaxed},
  },
};

/// Counters of the root requests of one tenant.
#[derive(Debug)]
pub struct TenantMetrics {
  pub(crate) answered: AtomicU64,
  pub(crate) unknown: AtomicU64,
  pub(crate) not_run: [AtomicU64; NotRunReason::ALL.len()],
}

impl Default for TenantMetrics {
  fn default() -> Self {
    Self {
      answered: AtomicU64::default(),
      unknown: AtomicU64::default(),
      not_run: array::from_fn(|_| AtomicU64::default()),
    }
  }
}

impl TenantMetrics {
  /// Counts an answered request.
  pub fn answered(&self) {
    self.answered.fetch_add(1, Relaxed);
  }

  /// Counts a request with an unknown outcome.
  pub fn unknown(&self) {
    self.unknown.fetch_add(1, Relaxed);
  }

  /// Counts a request that was not run.
  pub fn not_run(&self, reason: NotRunReason) {
    self.not_run[reason as usize].fetch_add(1, Relaxed);
  }
}
