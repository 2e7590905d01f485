use {
  humantime::TimestampError,
  serde::{Deserialize, Serialize},
  std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
    time::SystemTime,
  },
};

/// Point in time; its text form is RFC 3339 in UTC, with milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Timestamp(pub SystemTime);

impl Display for Timestamp {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    humantime::format_rfc3339_millis(self.0).fmt(f)
  }
}

impl FromStr for Timestamp {
  type Err = TimestampError;

  fn from_str(s: &str) -> Result<Self, Self::Err> {
    humantime::parse_rfc3339_weak(s).map(Self)
  }
}

impl TryFrom<String> for Timestamp {
  type Error = TimestampError;

  fn try_from(s: String) -> Result<Self, Self::Error> {
    s.parse()
  }
}

impl From<Timestamp> for String {
  fn from(time: Timestamp) -> Self {
    time.to_string()
  }
}
