use {
  crate::keys::{KeyHash, Process, Roster, roster::quorum},
  serde::{Deserialize, Serialize},
  std::time::Duration,
};

/// Nesting up to which the detail of handovers is passed on.
const MAX_DEPTH: usize = 4;

/// Values in one coverage that is passed on. With twelve IPv6 members each they take about 17 KB,
/// which leaves room in a frame of 64 KiB for a page of grants.
const MAX_VALUES: usize = 48;

/// Keys whose history a witness knows, as far as it depends on its takeover from an old roster.
///
/// Times are counted from the moment at which the value was made or received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
  /// Members of the old roster; empty when every key is known.
  pub members: Vec<Process>,
  /// Old members whose grants were handed over whole, by the keys that they knew.
  pub known: Vec<(Vec<Process>, Coverage)>,
  /// Time after which no grant of the old roster is remembered anywhere. `None` while enough of
  /// its members may still be granting.
  pub remaining: Option<Duration>,
}

impl Coverage {
  /// Whether the history of `key` is known, `elapsed` after this value was made.
  pub fn covers(&self, key: KeyHash, elapsed: Duration) -> bool {
    if self.covers_all(elapsed) {
      return true;
    }
    let known = Roster::replicas(&self.members, key)
      .into_iter()
      .filter(|keeper| {
        self
          .known
          .iter()
          .any(|(members, coverage)| members.contains(keeper) && coverage.covers(key, elapsed))
      })
      .count();
    known >= quorum(self.members.len())
  }

  /// Whether the history of every key is known, `elapsed` after this value was made.
  pub fn covers_all(&self, elapsed: Duration) -> bool {
    let over = self.remaining.is_some_and(|remaining| remaining <= elapsed);
    let total = || {
      self
        .known
        .iter()
        .filter(|(_, coverage)| coverage.covers_all(elapsed))
        .map(|(members, _)| members.len())
        .sum::<usize>()
    };
    over || total() + spare(self.members.len()) >= self.members.len()
  }

  /// The value as it stands `elapsed` later, bounded in size. Where detail is dropped, keys count
  /// as unknown until their time is over.
  pub(crate) fn aged(&self, elapsed: Duration) -> Self {
    (1..=MAX_DEPTH)
      .rev()
      .map(|depth| self.aged_to(elapsed, depth))
      .find(|aged| aged.values() <= MAX_VALUES)
      .unwrap_or_else(|| self.aged_to(elapsed, 0))
  }

  /// Bounds the wait for unknown keys, once the old rosters are known to have stopped granting.
  pub(crate) fn settle(mut self, retention: Duration) -> Self {
    self.remaining.get_or_insert(retention);
    self.known = self
      .known
      .into_iter()
      .map(|(members, coverage)| (members, coverage.settle(retention)))
      .collect();
    self
  }

  fn aged_to(&self, elapsed: Duration, depth: usize) -> Self {
    if self.covers_all(elapsed) {
      return Self::default();
    }
    let mut known = Vec::<(Vec<Process>, Self)>::new();
    if let Some(depth) = depth.checked_sub(1) {
      for (members, coverage) in &self.known {
        let coverage = coverage.aged_to(elapsed, depth);
        match known.iter_mut().find(|(_, other)| other.is_like(&coverage)) {
          Some((others, other)) => {
            others.extend(members);
            other.absorb(&coverage);
          }
          None => known.push((members.clone(), coverage)),
        }
      }
    }
    for (members, _) in &mut known {
      members.sort_unstable();
    }
    known.sort_by(|(a, _), (b, _)| a.cmp(b));
    Self {
      members: self.members.clone(),
      known,
      remaining: self
        .remaining
        .map(|remaining| remaining.saturating_sub(elapsed)),
    }
  }

  /// Whether it is equal to `other` but for the times.
  fn is_like(&self, other: &Self) -> bool {
    self.members == other.members
      && self.known.len() == other.known.len()
      && self
        .known
        .iter()
        .zip(&other.known)
        .all(|((members, a), (others, b))| members == others && a.is_like(b))
  }

  /// Takes the longer of the times of two like values.
  fn absorb(&mut self, other: &Self) {
    self.remaining = match (self.remaining, other.remaining) {
      (Some(a), Some(b)) => Some(a.max(b)),
      (None, _) | (_, None) => None,
    };
    for ((_, coverage), (_, other)) in self.known.iter_mut().zip(&other.known) {
      coverage.absorb(other);
    }
  }

  fn values(&self) -> usize {
    let nested = self.known.iter().map(|(_, coverage)| coverage.values());
    1 + nested.sum::<usize>()
  }
}

/// Members that may be missing without a key losing the majority of its replicas.
const fn spare(members: usize) -> usize {
  match members {
    0 | 1 => 0,
    _ => 1,
  }
}
