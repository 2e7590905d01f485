use std::time::Instant;

/// Capacity of the token bucket. Bounds the burst of retries after a quiet time.
const MAX_TOKENS: f64 = 50.0;
/// Tokens up to which time alone refills the bucket.
const FLOOR_TOKENS: f64 = 2.0;
/// Tokens per second up to that floor. Without it, a failure on a route with few calls could not be
/// retried at all.
const FLOOR_RATE: f64 = 1.0;

/// Token bucket that limits the share of retries among the calls that a node sends on one route.
#[derive(Clone, Debug)]
pub struct RetryRatio {
  ratio: f64,
  tokens: f64,
  refilled: Instant,
}

impl RetryRatio {
  /// Limit of `percent` retries per hundred calls.
  pub fn new(percent: u8, now: Instant) -> Self {
    let mut limit = Self {
      ratio: 0.0,
      tokens: FLOOR_TOKENS,
      refilled: now,
    };
    limit.set_percent(percent);
    limit
  }

  /// Replaces the share; zero allows no retries.
  pub fn set_percent(&mut self, percent: u8) {
    self.ratio = f64::from(percent.min(100)) / 100.0;
  }

  /// Records a first attempt.
  pub fn record_call(&mut self, now: Instant) {
    self.refill(now);
    self.tokens = (self.tokens + self.ratio).min(MAX_TOKENS);
  }

  /// Takes a token for a retry; false when there is none.
  pub fn try_retry(&mut self, now: Instant) -> bool {
    self.refill(now);
    if self.ratio == 0.0 || self.tokens < 1.0 {
      return false;
    }
    self.tokens -= 1.0;
    true
  }

  fn refill(&mut self, now: Instant) {
    let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
    self.refilled = self.refilled.max(now);
    if self.tokens < FLOOR_TOKENS {
      self.tokens = (self.tokens + elapsed * FLOOR_RATE).min(FLOOR_TOKENS);
    }
  }
}
