use {
  serde::{Deserialize, Serialize},
  std::{
    fmt::{self, Display, Formatter},
    num::ParseIntError,
    str::FromStr,
  },
  xxhash_rust::xxh3::xxh3_128,
};

/// Hash that identifies a stored preset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ContentHash(u128);

impl ContentHash {
  /// Hash of the stored bytes.
  pub fn of(content: &[u8]) -> Self {
    Self(xxh3_128(content))
  }
}

impl Display for ContentHash {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    write!(f, "{:032x}", self.0)
  }
}

impl FromStr for ContentHash {
  type Err = ParseIntError;

  fn from_str(s: &str) -> Result<Self, Self::Err> {
    u128::from_str_radix(s, 16).map(Self)
  }
}

impl TryFrom<String> for ContentHash {
  type Error = ParseIntError;

  fn try_from(s: String) -> Result<Self, Self::Error> {
    s.parse()
  }
}

impl From<ContentHash> for String {
  fn from(hash: ContentHash) -> Self {
    hash.to_string()
  }
}
