use {
  cactusyoke_model::{Level, NotRunReason, UnknownReason},
  std::{
    array,
    sync::atomic::{AtomicU16, AtomicU64, Ordering::Relaxed},
    time::Duration,
  },
};

/// Upper bounds of the queue wait buckets, microseconds. They double, from the cost of an admission
/// decision with its wake-up to the hundreds of milliseconds at which presets bound queue waits.
pub(crate) const WAIT_BOUNDS: [u64; 14] = [
  64, 128, 256, 512, 1_024, 2_048, 4_096, 8_192, 16_384, 32_768, 65_536, 131_072, 262_144, 524_288,
];

/// Counters of one class of one service. Each route holds a reference to them, so that the request
/// path increments them without a lookup.
#[derive(Debug)]
pub struct CallMetrics {
  pub(crate) sent: AtomicU64,
  pub(crate) answered: AtomicU64,
  pub(crate) retries: AtomicU64,
  pub(crate) handed_back: AtomicU64,
  pub(crate) not_run: [AtomicU64; NotRunReason::ALL.len()],
  pub(crate) unknown: [AtomicU64; UnknownReason::ALL.len()],
  pub(crate) wait_buckets: [AtomicU64; WAIT_BOUNDS.len() + 1],
  pub(crate) wait_sum: AtomicU64,
  pub(crate) level: AtomicU16,
}

impl Default for CallMetrics {
  fn default() -> Self {
    Self {
      sent: AtomicU64::default(),
      answered: AtomicU64::default(),
      retries: AtomicU64::default(),
      handed_back: AtomicU64::default(),
      not_run: array::from_fn(|_| AtomicU64::default()),
      unknown: array::from_fn(|_| AtomicU64::default()),
      wait_buckets: array::from_fn(|_| AtomicU64::default()),
      wait_sum: AtomicU64::default(),
      level: AtomicU16::new(Level::ALL.0),
    }
  }
}

impl CallMetrics {
  /// Counts a call that was sent towards an upstream.
  pub fn sent(&self) {
    self.sent.fetch_add(1, Relaxed);
  }

  /// Counts a complete answer.
  pub fn answered(&self) {
    self.answered.fetch_add(1, Relaxed);
  }

  /// Counts a call that was not run.
  pub fn not_run(&self, reason: NotRunReason) {
    self.not_run[reason as usize].fetch_add(1, Relaxed);
  }

  /// Counts a call with an unknown outcome.
  pub fn unknown(&self, reason: UnknownReason) {
    self.unknown[reason as usize].fetch_add(1, Relaxed);
  }

  /// Counts a retry.
  pub fn retried(&self) {
    self.retries.fetch_add(1, Relaxed);
  }

  /// Counts a call that an instance without a free slot handed back.
  pub fn handed_back(&self) {
    self.handed_back.fetch_add(1, Relaxed);
  }

  /// Counts the time that a call spent in the queue.
  pub fn waited(&self, wait: Duration) {
    let micros = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
    let bucket = WAIT_BOUNDS.partition_point(|bound| *bound < micros);
    self.wait_buckets[bucket].fetch_add(1, Relaxed);
    self.wait_sum.fetch_add(micros, Relaxed);
  }

  /// Sets the admission level in force.
  pub fn set_level(&self, level: Level) {
    self.level.store(level.0, Relaxed);
  }
}
