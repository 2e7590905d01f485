use {
  cactusyoke_model::RequestRate,
  std::time::{Duration, Instant},
};

/// Requests per second that are let through at any limit, since only answers tell that it has
/// ended.
const MIN_RATE: f64 = 0.5;
/// Time in which requests that were not sent may be made up for, so that arrivals need not be
/// evenly spaced.
const BURST: Duration = Duration::from_millis(100);

/// Limit on the rate of requests that an upstream has stated in its answers.
///
/// Answers may arrive in another order than the upstream wrote them, so that a limit is lowered at
/// once, and raised or lifted only by the answer to a request that was sent after the limit in
/// force was last stated.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateLimit {
  rate: RequestRate,
  /// When an answer last stated the limit.
  stated: Instant,
  /// Requests that may be sent now.
  tokens: f64,
  updated: Instant,
  /// Requests sent since the use was last taken.
  sent: u32,
}

impl RateLimit {
  /// Limit that an answer states for the first time.
  pub(super) const fn new(rate: RequestRate, now: Instant) -> Self {
    Self {
      rate,
      stated: now,
      tokens: 0.0,
      updated: now,
      sent: 0,
    }
  }

  /// Limit in force after an answer to a request sent at `sent`, which states `rate`.
  pub(super) fn after_answer(
    current: Option<Self>,
    rate: Option<RequestRate>,
    sent: Instant,
    now: Instant,
  ) -> Option<Self> {
    let Some(mut limit) = current else {
      return rate.map(|rate| Self::new(rate, now));
    };
    let newer = sent > limit.stated;
    match rate {
      Some(rate) if rate <= limit.rate || newer => {
        limit.refill(now);
        limit.rate = rate;
        limit.tokens = limit.tokens.min(limit.max_tokens());
        limit.stated = now;
        Some(limit)
      }
      None if newer => None,
      _ => Some(limit),
    }
  }

  /// Requests per second.
  pub(super) fn per_second(&self) -> f64 {
    self.rate.per_second().max(MIN_RATE)
  }

  /// True when a request may be sent now.
  pub(super) fn admits(&mut self, now: Instant) -> bool {
    self.refill(now);
    self.tokens >= 1.0
  }

  /// Requests that may be sent now.
  pub(super) const fn available(&self) -> u32 {
    self.tokens as u32
  }

  /// Counts a request that is sent.
  pub(super) fn record_sent(&mut self) {
    self.tokens -= 1.0;
    self.sent += 1;
  }

  /// Share of the limit that was used in the last `elapsed` time, since the last call of this method.
  pub(super) fn take_utilisation(&mut self, elapsed: Duration) -> f64 {
    let sendable = self.per_second() * elapsed.as_secs_f64();
    (f64::from(std::mem::take(&mut self.sent)) / sendable).min(1.0)
  }

  /// When the next request may be sent.
  pub(super) fn next(&self) -> Instant {
    let missing = (1.0 - self.tokens).max(0.0);
    self.updated + Duration::from_secs_f64(missing / self.per_second())
  }

  fn refill(&mut self, now: Instant) {
    let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
    self.tokens = (self.tokens + elapsed * self.per_second()).min(self.max_tokens());
    self.updated = self.updated.max(now);
  }

  fn max_tokens(&self) -> f64 {
    (self.per_second() * BURST.as_secs_f64()).max(1.0)
  }
}
