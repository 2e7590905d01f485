use std::time::Instant;

/// Bytes that may be sent at once after a quiet time: enough to pass on 600 records when many
/// nodes start together, and twelve seconds of the default rate.
pub const BURST_BYTES: u32 = 24_000;

/// Bytes that may be sent: a token bucket.
#[derive(Clone, Debug)]
pub struct SendBudget {
  rate: u32,
  tokens: f64,
  filled: Instant,
}

impl SendBudget {
  /// Full budget of `rate` bytes a second.
  pub fn new(rate: u32, now: Instant) -> Self {
    Self {
      rate,
      tokens: f64::from(BURST_BYTES),
      filled: now,
    }
  }

  /// Adds what has accrued.
  pub fn fill(&mut self, now: Instant) {
    let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
    self.filled = self.filled.max(now);
    self.tokens = (self.tokens + elapsed * f64::from(self.rate)).min(f64::from(BURST_BYTES));
  }

  /// Bytes that may be sent now while `reserve` bytes remain.
  pub fn available(&self, reserve: usize) -> usize {
    (self.tokens as usize).saturating_sub(reserve)
  }

  /// Takes what is sent.
  pub fn take(&mut self, bytes: usize) {
    self.tokens -= bytes as f64;
  }
}
