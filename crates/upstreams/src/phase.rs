use std::fmt::{self, Display, Formatter};

/// Place of the upstream in its life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
  /// Announced, not yet seen to accept a connection.
  Announced,
  /// Accepts connections, in its cold start.
  Warming,
  /// Runs at its usual speed.
  Serving,
  /// Finishes what it runs and takes no new work.
  Draining,
  /// Left, lost, or not announced yet.
  Gone,
}

impl Phase {
  /// Name as it stands in logs and announcement responses.
  pub const fn as_str(self) -> &'static str {
    match self {
      Self::Announced => "announced",
      Self::Warming => "warming",
      Self::Serving => "serving",
      Self::Draining => "draining",
      Self::Gone => "gone",
    }
  }
}

impl Display for Phase {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    f.write_str(self.as_str())
  }
}
