//! Sizes, counts and rates with units.

use {
  serde::{Deserialize, Serialize},
  std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
  },
};

/// Text that is not a valid count, size or rate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnitError {
  text: String,
  expected: &'static str,
}

impl Display for UnitError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    write!(f, "`{}` is not {}", self.text.escape_debug(), self.expected)
  }
}

impl std::error::Error for UnitError {}

macro_rules! count {
  ($(#[$doc:meta])* $name:ident($inner:ty), $expected:literal) => {
    $(#[$doc])*
    #[derive(
      Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
    )]
    pub struct $name(pub $inner);

    impl Display for $name {
      fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
      }
    }

    impl FromStr for $name {
      type Err = UnitError;

      fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self).map_err(|_error| UnitError { text: s.into(), expected: $expected })
      }
    }
  };
}

count! {
  /// Number of requests that an upstream runs concurrently.
  Slots(u32), "a number of slots: use a whole number"
}
count! {
  /// Number of open connections to an upstream.
  Connections(u32), "a number of connections: use a whole number"
}
count! {
  /// Number of retries that a call tree may use: its retry allowance.
  Retries(u16), "a number of retries: use a whole number up to 65535"
}

impl Slots {
  /// More slots than any upstream has. A larger number would draw all calls to it.
  pub const MAX: Self = Self(1_000_000);
}

impl Retries {
  /// No retries.
  pub const ZERO: Self = Self(0);

  /// Takes half of the retries that are left, rounded up.
  #[must_use]
  pub const fn take_share(&mut self) -> Self {
    let share = self.0.div_ceil(2);
    self.0 -= share;
    Self(share)
  }

  /// Takes one retry; false when none was left.
  #[must_use]
  pub const fn take_one(&mut self) -> bool {
    let left = self.0 > 0;
    self.0 = self.0.saturating_sub(1);
    left
  }
}

/// Size, bytes. Text form: a whole number with `B`, `KiB`, `MiB` or `GiB`.
#[derive(
  Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct ByteSize(pub u64);

const UNITS: [(&str, u64); 4] = [
  ("GiB", 1 << 30),
  ("MiB", 1 << 20),
  ("KiB", 1 << 10),
  ("B", 1),
];

impl Display for ByteSize {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    let (unit, scale) = UNITS
      .into_iter()
      .find(|(_, scale)| self.0 >= *scale && self.0.is_multiple_of(*scale))
      .unwrap_or(("B", 1));
    write!(f, "{}{unit}", self.0 / scale)
  }
}

impl FromStr for ByteSize {
  type Err = UnitError;

  fn from_str(s: &str) -> Result<Self, Self::Err> {
    let error = || UnitError {
      text: s.into(),
      expected: "a size: use a whole number with B, KiB, MiB or GiB, such as `16MiB`",
    };
    let (number, scale) = UNITS
      .into_iter()
      .find_map(|(unit, scale)| Some((s.strip_suffix(unit)?, scale)))
      .ok_or_else(error)?;
    let number = number.trim_end().parse::<u64>().map_err(|_error| error())?;
    number.checked_mul(scale).map(Self).ok_or_else(error)
  }
}

impl TryFrom<String> for ByteSize {
  type Error = UnitError;

  fn try_from(s: String) -> Result<Self, Self::Error> {
    s.parse()
  }
}

impl From<ByteSize> for String {
  fn from(size: ByteSize) -> Self {
    size.to_string()
  }
}

/// Requests per second; finite and not negative. Text form: a decimal number.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

/// Holds since a rate is finite.
impl Eq for RequestRate {}

impl RequestRate {
  /// Requests per second.
  pub const fn per_second(self) -> f64 {
    self.0
  }
}

impl Display for RequestRate {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    self.0.fmt(f)
  }
}

impl TryFrom<f64> for RequestRate {
  type Error = UnitError;

  fn try_from(rate: f64) -> Result<Self, Self::Error> {
    if rate.is_finite() && rate >= 0.0 {
      Ok(Self(rate))
    } else {
      Err(rate_error(&rate.to_string()))
    }
  }
}

impl From<RequestRate> for f64 {
  fn from(rate: RequestRate) -> Self {
    rate.0
  }
}

impl FromStr for RequestRate {
  type Err = UnitError;

  fn from_str(s: &str) -> Result<Self, Self::Err> {
    let rate = s.parse::<f64>().ok();
    let valid = rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
    valid.map(Self).ok_or_else(|| rate_error(s))
  }
}

fn rate_error(text: &str) -> UnitError {
  UnitError {
    text: text.into(),
    expected: "a rate: use a decimal number of requests per second, such as `30.5`",
  }
}
