use {
  crate::keys::Member,
  serde::{Deserialize, Serialize},
  std::fmt::{self, Display, Formatter},
};

/// One attempt of a member to run a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunId {
  /// Member that would call the upstream.
  pub member: Member,
  /// Number of the attempt, never used twice by the member.
  pub number: u64,
}

impl Display for RunId {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    write!(f, "{}#{}", self.member, self.number)
  }
}
