use std::time::Instant;

/// Burst that may be sent after an idle time, bytes: enough to gossip 600 records when many nodes
/// start together, and as much as the default rate allows in twelve seconds.
pub const BURST_BYTES: u32 = 24_000;

/// Token bucket that limits the bytes sent.
#[derive(Clone, Debug)]
pub struct SendBudget {
  rate: u32,
  tokens: f64,
  refilled: Instant,
}

impl SendBudget {
  /// Full bucket that refills at `rate` bytes per second.
  pub fn new(rate: u32, now: Instant) -> Self {
    Self {
      rate,
      tokens: f64::from(BURST_BYTES),
      refilled: now,
    }
  }

  /// Adds the tokens accrued since the last refill.
  pub fn refill(&mut self, now: Instant) {
    let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
    self.refilled = self.refilled.max(now);
    self.tokens = (self.tokens + elapsed * f64::from(self.rate)).min(f64::from(BURST_BYTES));
  }

  /// Bytes that may be sent now while keeping `reserve` bytes.
  pub fn available(&self, reserve: usize) -> usize {
    (self.tokens as usize).saturating_sub(reserve)
  }

  /// Takes the tokens for sent bytes.
  pub fn take(&mut self, bytes: usize) {
    self.tokens -= bytes as f64;
  }
}
