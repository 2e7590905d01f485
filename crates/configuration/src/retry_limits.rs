use {rand::Rng, std::time::Duration};

/// Limits on the attempts at one change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryLimits {
  /// Most attempts, including the first.
  pub max_attempts: u32,
  /// Time after which no further attempt starts.
  pub time_limit: Duration,
  /// Longest wait before the second attempt; doubles with each further attempt.
  pub initial_backoff: Duration,
  /// Longest wait before any attempt.
  pub max_backoff: Duration,
}

impl Default for RetryLimits {
  fn default() -> Self {
    // An operator waits for the command, so a change has to end within about 10 s.
    Self {
      max_attempts: 16,
      time_limit: Duration::from_secs(8),
      initial_backoff: Duration::from_millis(20),
      max_backoff: Duration::from_secs(1),
    }
  }
}

impl RetryLimits {
  /// Wait before an attempt, randomised so that writers that collided do not collide again.
  pub(crate) fn wait(&self, attempt: u32) -> Duration {
    let scale = 1_u32 << attempt.saturating_sub(1).min(16);
    let max = self
      .initial_backoff
      .saturating_mul(scale)
      .min(self.max_backoff);
    max.mul_f64(rand::rng().random_range(0.5..=1.0))
  }
}
