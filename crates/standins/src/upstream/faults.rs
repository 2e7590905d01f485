use std::{
  sync::{
    Mutex, MutexGuard,
    atomic::{AtomicBool, AtomicU64, Ordering},
  },
  time::Duration,
};

#[derive(Debug, Default)]
struct Overrides {
  poison_path: Option<String>,
  poison_tag: Option<String>,
  health: Option<bool>,
  load: Option<u32>,
}

/// Faults that a test injects while the stand-in runs.
#[derive(Debug)]
pub struct Faults {
  /// Factor on service times, as the bits of an `f64`.
  slowdown: AtomicU64,
  fail_fast: AtomicBool,
  /// Connections with a lower number are silent.
  silent_below: AtomicU64,
  /// Number of the next connection.
  next_number: AtomicU64,
  overrides: Mutex<Overrides>,
}

impl Default for Faults {
  fn default() -> Self {
    Self {
      slowdown: AtomicU64::new(1.0_f64.to_bits()),
      fail_fast: AtomicBool::new(false),
      silent_below: AtomicU64::new(0),
      next_number: AtomicU64::new(0),
      overrides: Mutex::default(),
    }
  }
}

impl Faults {
  fn overrides(&self) -> MutexGuard<'_, Overrides> {
    self
      .overrides
      .lock()
      .expect("no thread panics while it holds the lock")
  }

  /// Sets the factor on service times.
  pub fn set_slowdown(&self, factor: f64) {
    self.slowdown.store(factor.to_bits(), Ordering::SeqCst);
  }

  /// Answers each request at once with status 500.
  pub fn set_fail_fast(&self, on: bool) {
    self.fail_fast.store(on, Ordering::SeqCst);
  }

  /// Sets the path whose requests crash the stand-in: they close its listener and all connections.
  pub fn set_poison_path(&self, path: Option<&str>) {
    self.overrides().poison_path = path.map(str::to_owned);
  }

  /// Sets the tag of the request that crashes the stand-in.
  pub fn set_poison_tag(&self, tag: Option<&str>) {
    self.overrides().poison_tag = tag.map(str::to_owned);
  }

  /// Stops answering on the connections that are open now, for ever; new connections work.
  pub fn silence_connections(&self) {
    let next = self.next_number.load(Ordering::SeqCst);
    self.silent_below.store(next, Ordering::SeqCst);
  }

  /// Sets what `GET /health` reports; `None` for healthy.
  pub fn override_health(&self, healthy: Option<bool>) {
    self.overrides().health = healthy;
  }

  /// Sets the load that `GET /load` reports; `None` for the requests in flight.
  pub fn override_load(&self, in_flight: Option<u32>) {
    self.overrides().load = in_flight;
  }

  pub(crate) fn scale(&self, time: Duration) -> Duration {
    time.mul_f64(f64::from_bits(self.slowdown.load(Ordering::SeqCst)))
  }

  pub(crate) fn is_failing_fast(&self) -> bool {
    self.fail_fast.load(Ordering::SeqCst)
  }

  pub(crate) fn is_poison(&self, path: &str, tag: &str) -> bool {
    let overrides = self.overrides();
    overrides.poison_path.as_deref() == Some(path) || overrides.poison_tag.as_deref() == Some(tag)
  }

  pub(crate) fn next_connection(&self) -> u64 {
    self.next_number.fetch_add(1, Ordering::SeqCst)
  }

  pub(crate) fn is_silent(&self, connection: u64) -> bool {
    connection < self.silent_below.load(Ordering::SeqCst)
  }

  pub(crate) fn health(&self) -> bool {
    self.overrides().health.unwrap_or(true)
  }

  pub(crate) fn load(&self, in_flight: u32) -> u32 {
    self.overrides().load.unwrap_or(in_flight)
  }
}
