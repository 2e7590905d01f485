use {
  crate::keys::Process,
  serde::{Deserialize, Serialize},
  std::fmt::{self, Display, Formatter},
};

/// Identity of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunId {
  /// Process that would call the upstream.
  pub process: Process,
  /// Number of the run, never used twice by the process.
  pub number: u64,
}

impl Display for RunId {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    write!(f, "{}#{}", self.process, self.number)
  }
}
