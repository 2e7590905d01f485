use std::{
  sync::{
    Mutex, MutexGuard,
    atomic::{AtomicBool, AtomicU64, Ordering},
  },
  time::Duration,
};

#[derive(Debug, Default)]
struct Texts {
  poison: Option<String>,
  health: Option<bool>,
  load: Option<u32>,
}

/// Faults that a test switches while the stand-in runs.
#[derive(Debug)]
pub struct Faults {
  slow: AtomicU64,
  fail_fast: AtomicBool,
  /// Connections below this number are silent.
  silent_below: AtomicU64,
  /// Number of the next connection.
  next: AtomicU64,
  texts: Mutex<Texts>,
}

impl Default for Faults {
  fn default() -> Self {
    Self {
      slow: AtomicU64::new(1.0_f64.to_bits()),
      fail_fast: AtomicBool::new(false),
      silent_below: AtomicU64::new(0),
      next: AtomicU64::new(0),
      texts: Mutex::default(),
    }
  }
}

impl Faults {
  fn texts(&self) -> MutexGuard<'_, Texts> {
    self
      .texts
      .lock()
      .expect("no thread panics while it holds the lock")
  }

  /// Multiplies service times.
  pub fn set_slowdown(&self, factor: f64) {
    self.slow.store(factor.to_bits(), Ordering::SeqCst);
  }

  /// Answers each request at once with 500.
  pub fn set_fail_fast(&self, on: bool) {
    self.fail_fast.store(on, Ordering::SeqCst);
  }

  /// Requests of this path crash the stand-in: its listener and all connections are closed.
  pub fn set_poison_path(&self, path: Option<&str>) {
    self.texts().poison = path.map(str::to_owned);
  }

  /// The open connections accept requests and never answer again; new ones work.
  pub fn silence_connections(&self) {
    let next = self.next.load(Ordering::SeqCst);
    self.silent_below.store(next, Ordering::SeqCst);
  }

  /// `GET /health` reports this instead of healthy.
  pub fn override_health(&self, healthy: Option<bool>) {
    self.texts().health = healthy;
  }

  /// `GET /load` reports this instead of the requests in flight.
  pub fn override_load(&self, in_flight: Option<u32>) {
    self.texts().load = in_flight;
  }

  pub(crate) fn stretch(&self, time: Duration) -> Duration {
    time.mul_f64(f64::from_bits(self.slow.load(Ordering::SeqCst)))
  }

  pub(crate) fn is_failing(&self) -> bool {
    self.fail_fast.load(Ordering::SeqCst)
  }

  pub(crate) fn is_poison(&self, path: &str) -> bool {
    self.texts().poison.as_deref() == Some(path)
  }

  pub(crate) fn next_connection(&self) -> u64 {
    self.next.fetch_add(1, Ordering::SeqCst)
  }

  pub(crate) fn is_silent(&self, connection: u64) -> bool {
    connection < self.silent_below.load(Ordering::SeqCst)
  }

  pub(crate) fn health(&self) -> bool {
    self.texts().health.unwrap_or(true)
  }

  pub(crate) fn load(&self, in_flight: u32) -> u32 {
    self.texts().load.unwrap_or(in_flight)
  }
}
