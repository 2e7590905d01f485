use {
  rand::Rng,
  serde::{Deserialize, Serialize},
  std::{
    fmt::{self, Display, Formatter},
    num::ParseIntError,
    str::FromStr,
  },
  xxhash_rust::xxh3::xxh3_64,
};

/// Id of a root request, shared by all calls of its call tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl RequestId {
  /// Random id.
  pub fn random(rng: &mut impl Rng) -> Self {
    Self(rng.random())
  }

  /// Position of the request within its class, uniformly distributed over requests.
  pub fn sub_level(self) -> u8 {
    xxh3_64(&self.0.to_le_bytes()) as u8
  }
}

impl Display for RequestId {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    write!(f, "{:032x}", self.0)
  }
}

impl FromStr for RequestId {
  type Err = ParseIntError;

  fn from_str(s: &str) -> Result<Self, Self::Err> {
    u128::from_str_radix(s, 16).map(Self)
  }
}

/// Id of one call that an upstream runs, unique within that upstream's node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SpanId(pub u64);

impl Display for SpanId {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    write!(f, "{:016x}", self.0)
  }
}

impl FromStr for SpanId {
  type Err = ParseIntError;

  fn from_str(s: &str) -> Result<Self, Self::Err> {
    u64::from_str_radix(s, 16).map(Self)
  }
}
