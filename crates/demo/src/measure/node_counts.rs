use std::{fmt, str::FromStr};

/// Most nodes of one run; bounds memory and open connections on one machine.
const MAX_NODES: u16 = 400;

/// Numbers of nodes to measure, such as `10,30,100`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeCounts(pub Vec<u16>);

impl fmt::Display for NodeCounts {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    let counts = self.0.iter().map(u16::to_string).collect::<Vec<_>>();
    f.write_str(&counts.join(","))
  }
}

impl FromStr for NodeCounts {
  type Err = String;

  fn from_str(s: &str) -> Result<Self, Self::Err> {
    let parse = |part: &str| {
      let count = part.trim().parse::<u16>().ok();
      count
        .filter(|count| (3..=MAX_NODES).contains(count))
        .ok_or_else(|| format!("`{part}` is not a number of nodes: use 3 to {MAX_NODES}"))
    };
    s.split(',').map(parse).collect::<Result<_, _>>().map(Self)
  }
}
