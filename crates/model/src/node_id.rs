use {
  serde::{Deserialize, Serialize},
  std::{
    fmt::{self, Display, Formatter},
    net::{AddrParseError, SocketAddr},
    str::FromStr,
  },
};

/// Identity of a node: the address at which other nodes reach it, by TCP and UDP.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub SocketAddr);

impl Display for NodeId {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    self.0.fmt(f)
  }
}

impl FromStr for NodeId {
  type Err = AddrParseError;

  fn from_str(s: &str) -> Result<Self, Self::Err> {
    s.parse().map(Self)
  }
}

/// One life of a node: its start time, milliseconds since 1970, raised when it must refute a
/// report of its death.
#[derive(
  Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl Display for Incarnation {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    self.0.fmt(f)
  }
}
