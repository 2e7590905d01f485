use {cactusyoke_model::UsageCap, std::time::Duration};

/// Bounds on what is admitted beyond a usage cap.
///
/// In any window, at most `(rate * window + burst) * (1 + over) + slack` requests of a tenant are
/// admitted by all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
  /// Length of the sliding window.
  pub window: Duration,
  /// Allowed excess, as a part of the cap.
  pub over: f64,
  /// Allowed excess, requests.
  pub slack: f64,
}

impl QuotaBounds {
  /// No excess in any window.
  pub const EXACT: Self = Self {
    window: Duration::from_secs(5),
    over: 0.0,
    slack: 0.0,
  };

  /// Most requests of a tenant in a window.
  pub fn limit(&self, cap: UsageCap) -> f64 {
    let exact = cap.rate.per_second() * self.window.as_secs_f64() + f64::from(cap.burst);
    exact * (1.0 + self.over) + self.slack
  }

  /// True when nodes may admit requests before they have a lease.
  pub fn allows_credit(&self) -> bool {
    self.slack >= 1.0
  }
}

impl Default for QuotaBounds {
  fn default() -> Self {
    Self::EXACT
  }
}
