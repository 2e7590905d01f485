use {
  std::sync::{Mutex, PoisonError},
  tokio::time::Instant,
};

/// Calls a second that the platform serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quotas {
  /// Reads, watches and lease renewals.
  pub reads: u32,
  /// Writes and requests for new leases.
  pub writes: u32,
}

impl Default for Quotas {
  fn default() -> Self {
    Self {
      reads: 2_000,
      writes: 400,
    }
  }
}

/// Token bucket with a capacity of one second of calls.
#[derive(Debug)]
pub(crate) struct TokenBucket {
  rate: f64,
  /// Tokens, and when they were last refilled.
  state: Mutex<(f64, Instant)>,
}

impl TokenBucket {
  pub(crate) fn new(rate: u32) -> Self {
    Self {
      rate: f64::from(rate),
      state: Mutex::new((f64::from(rate), Instant::now())),
    }
  }

  /// Takes one token; false when there is none.
  pub(crate) fn take(&self) -> bool {
    let now = Instant::now();
    let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
    let (tokens, last) = *state;
    let refilled = (tokens + now.duration_since(last).as_secs_f64() * self.rate).min(self.rate);
    let granted = refilled >= 1.0;
    *state = (if granted { refilled - 1.0 } else { refilled }, now);
    granted
  }
}
