use {
  serde::{Deserialize, Serialize},
  std::{
    fmt::{self, Display, Formatter},
    net::{AddrParseError, SocketAddr},
    str::FromStr,
  },
};

/// Id of a node: the address at which other nodes reach it over TCP and UDP.
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

/// Number that distinguishes the processes that have run at one node address: the start time of the
/// process, milliseconds since 1970. Raised when the process must refute a report that it is dead.
#[derive(
  Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl Display for Incarnation {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    self.0.fmt(f)
  }
}
