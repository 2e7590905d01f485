use std::fmt::{self, Display, Formatter};

/// Phase of the upstream's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
  /// Announced, but its check has not passed yet.
  Announced,
  /// Accepts calls, but is still slow after its start.
  Warming,
  /// Accepts calls and runs at its usual speed.
  Serving,
  /// Finishes its running requests and takes no new ones.
  Draining,
  /// Stopped, lost, or not announced yet.
  Gone,
}

impl Phase {
  /// Name in logs and in responses to announcements.
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
