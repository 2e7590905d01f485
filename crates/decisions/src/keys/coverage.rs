use {
  crate::keys::{KeyHash, Member, Roster, roster::quorum},
  serde::{Deserialize, Serialize},
  std::time::Duration,
};

/// Nesting beyond which the detail of a handover is dropped. The keys in question are then
/// refused until their time is over.
const MAX_DEPTH: usize = 4;

/// Keys whose history a witness knows, as far as it depends on its takeover from an old roster.
///
/// Times are counted from the moment at which the value was made or received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
  /// Members of the old roster; empty when every key is known.
  pub members: Vec<Member>,
  /// Old members whose grants were handed over whole, with the keys that they knew.
  pub known: Vec<(Member, Coverage)>,
  /// Time after which no grant of the old roster is remembered anywhere. `None` while enough of
  /// its members may still be granting.
  pub remaining: Option<Duration>,
}

impl Coverage {
  /// Whether the history of `key` is known, `elapsed` after this value was made.
  pub fn covers(&self, key: KeyHash, elapsed: Duration) -> bool {
    if self.is_total(elapsed) {
      return true;
    }
    let known = Roster::keepers(&self.members, key)
      .into_iter()
      .filter(|keeper| {
        self
          .known
          .iter()
          .any(|(member, coverage)| member == keeper && coverage.covers(key, elapsed))
      })
      .count();
    known >= quorum(self.members.len())
  }

  /// Whether the history of every key is known, `elapsed` after this value was made.
  pub fn is_total(&self, elapsed: Duration) -> bool {
    let over = self.remaining.is_some_and(|remaining| remaining <= elapsed);
    let total = || {
      self
        .known
        .iter()
        .filter(|(_, coverage)| coverage.is_total(elapsed))
        .count()
    };
    over || total() + spare(self.members.len()) >= self.members.len()
  }

  /// The value as it stands `elapsed` later, without detail that is no longer needed.
  pub(crate) fn aged(&self, elapsed: Duration) -> Self {
    self.aged_to(elapsed, MAX_DEPTH)
  }

  fn aged_to(&self, elapsed: Duration, depth: usize) -> Self {
    if self.is_total(elapsed) {
      return Self::default();
    }
    let known = match depth.checked_sub(1) {
      Some(depth) => self
        .known
        .iter()
        .map(|(member, coverage)| (*member, coverage.aged_to(elapsed, depth)))
        .collect(),
      None => Vec::new(),
    };
    Self {
      members: self.members.clone(),
      known,
      remaining: self
        .remaining
        .map(|remaining| remaining.saturating_sub(elapsed)),
    }
  }

  /// Bounds the wait for unknown keys once the old rosters are known to have stopped granting.
  pub(crate) fn settle(mut self, retention: Duration) -> Self {
    self.remaining.get_or_insert(retention);
    self.known = self
      .known
      .into_iter()
      .map(|(member, coverage)| (member, coverage.settle(retention)))
      .collect();
    self
  }
}

/// Members that may be missing without a key losing the majority of its keepers.
const fn spare(members: usize) -> usize {
  match members {
    0 | 1 => 0,
    _ => 1,
  }
}
