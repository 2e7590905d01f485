//! Sources of time, passed in so that tests can control them.

use std::{
  fmt::Debug,
  sync::Mutex,
  time::{Duration, Instant, SystemTime},
};

/// Source of time.
pub trait Clock: Debug + Send + Sync {
  /// Monotonic time.
  fn now(&self) -> Instant;
  /// Wall-clock time, for timestamps that leave the process.
  fn wall(&self) -> SystemTime;
}

/// System clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
  fn now(&self) -> Instant {
    Instant::now()
  }

  fn wall(&self) -> SystemTime {
    SystemTime::now()
  }
}

/// Clock for tests that advances only on request.
#[derive(Debug)]
pub struct ManualClock {
  start: Instant,
  elapsed: Mutex<Duration>,
}

impl Default for ManualClock {
  fn default() -> Self {
    Self {
      start: Instant::now(),
      elapsed: Mutex::new(Duration::ZERO),
    }
  }
}

impl ManualClock {
  /// Moves the clock forward.
  pub fn advance(&self, by: Duration) {
    *self
      .elapsed
      .lock()
      .expect("no thread panics while it holds the lock") += by;
  }

  fn elapsed(&self) -> Duration {
    *self
      .elapsed
      .lock()
      .expect("no thread panics while it holds the lock")
  }
}

impl Clock for ManualClock {
  fn now(&self) -> Instant {
    self.start + self.elapsed()
  }

  fn wall(&self) -> SystemTime {
    SystemTime::UNIX_EPOCH + self.elapsed()
  }
}
