use std::{
  fmt::{self, Display, Formatter},
  str::FromStr,
};

/// Requests per second; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
  /// Requests per second.
  pub const fn per_second(self) -> f64 {
    self.0
  }
}

/// Text that is not a rate of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RateError(String);

impl Display for RateError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    write!(
      f,
      "`{}` is not a rate: use a decimal number of requests per second, such as `30.5`",
      self.0.escape_debug()
    )
  }
}

impl std::error::Error for RateError {}

impl FromStr for RequestRate {
  type Err = RateError;

  fn from_str(s: &str) -> Result<Self, Self::Err> {
    let rate = s.parse::<f64>().ok();
    let valid = rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
    valid.map(Self).ok_or_else(|| RateError(s.to_owned()))
  }
}

impl Display for RequestRate {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    self.0.fmt(f)
  }
}
