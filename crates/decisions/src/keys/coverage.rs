use {
  crate::keys::{KeyHash, Process, Roster, roster::quorum},
  serde::{Deserialize, Serialize},
  std::time::Duration,
};

/// Levels of nested coverages that are sent.
const MAX_DEPTH: usize = 4;

/// Most coverages that are sent nested in one, itself included. With twelve IPv6 members each they
/// take about 17 KB, which leaves room in a frame of 64 KiB for a page of grants.
const MAX_NESTED: usize = 48;

/// Keys whose history a witness knows, that is, every run that holds them.
///
/// A new witness knows a key once enough old members that knew it have handed over their grants,
/// or once all grants of the old roster have expired. What an old member knew may in turn depend on
/// an earlier takeover, so coverages are nested. Times count from when the value was made or
/// received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
  /// Members of the old roster; empty when every key is known.
  pub members: Vec<Process>,
  /// Old members that have handed over all their grants, grouped by the keys that they knew.
  pub handed_over: Vec<(Vec<Process>, Coverage)>,
  /// Time until all grants of the old roster have expired. `None` while enough of its members may
  /// still be granting.
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
      .filter(|replica| {
        self
          .handed_over
          .iter()
          .any(|(members, coverage)| members.contains(replica) && coverage.covers(key, elapsed))
      })
      .count();
    known >= quorum(self.members.len())
  }

  /// Whether the history of every key is known, `elapsed` after this value was made.
  pub fn covers_all(&self, elapsed: Duration) -> bool {
    let expired = self.remaining.is_some_and(|remaining| remaining <= elapsed);
    let total = || {
      self
        .handed_over
        .iter()
        .filter(|(_, coverage)| coverage.covers_all(elapsed))
        .map(|(members, _)| members.len())
        .sum::<usize>()
    };
    expired || total() + tolerated_losses(self.members.len()) >= self.members.len()
  }

  /// The value `elapsed` later, bounded in size: keys whose details are dropped count as unknown
  /// until all grants of the old roster have expired.
  pub(crate) fn aged(&self, elapsed: Duration) -> Self {
    (1..=MAX_DEPTH)
      .rev()
      .map(|depth| self.aged_to_depth(elapsed, depth))
      .find(|aged| aged.nested_count() <= MAX_NESTED)
      .unwrap_or_else(|| self.aged_to_depth(elapsed, 0))
  }

  /// Bounds the wait for unknown keys, as the old rosters are known to have stopped granting.
  pub(crate) fn bound_wait(mut self, retention: Duration) -> Self {
    self.remaining.get_or_insert(retention);
    self.handed_over = self
      .handed_over
      .into_iter()
      .map(|(members, coverage)| (members, coverage.bound_wait(retention)))
      .collect();
    self
  }

  fn aged_to_depth(&self, elapsed: Duration, depth: usize) -> Self {
    if self.covers_all(elapsed) {
      return Self::default();
    }
    let mut handed_over = Vec::<(Vec<Process>, Self)>::new();
    if let Some(depth) = depth.checked_sub(1) {
      for (members, coverage) in &self.handed_over {
        let coverage = coverage.aged_to_depth(elapsed, depth);
        match handed_over
          .iter_mut()
          .find(|(_, other)| other.equals_except_times(&coverage))
        {
          Some((others, other)) => {
            others.extend(members);
            other.merge_times(&coverage);
          }
          None => handed_over.push((members.clone(), coverage)),
        }
      }
    }
    for (members, _) in &mut handed_over {
      members.sort_unstable();
    }
    handed_over.sort_by(|(a, _), (b, _)| a.cmp(b));
    Self {
      members: self.members.clone(),
      handed_over,
      remaining: self
        .remaining
        .map(|remaining| remaining.saturating_sub(elapsed)),
    }
  }

  /// Whether it equals `other` except for the times.
  fn equals_except_times(&self, other: &Self) -> bool {
    self.members == other.members
      && self.handed_over.len() == other.handed_over.len()
      && self
        .handed_over
        .iter()
        .zip(&other.handed_over)
        .all(|((members, a), (others, b))| members == others && a.equals_except_times(b))
  }

  /// Takes the longer of each pair of times; `other` is equal except for its times.
  fn merge_times(&mut self, other: &Self) {
    self.remaining = match (self.remaining, other.remaining) {
      (Some(a), Some(b)) => Some(a.max(b)),
      (None, _) | (_, None) => None,
    };
    for ((_, coverage), (_, other)) in self.handed_over.iter_mut().zip(&other.handed_over) {
      coverage.merge_times(other);
    }
  }

  /// Coverages nested in this one, itself included.
  fn nested_count(&self) -> usize {
    let nested = self
      .handed_over
      .iter()
      .map(|(_, coverage)| coverage.nested_count());
    1 + nested.sum::<usize>()
  }
}

/// Members that may be missing while every key keeps a majority of its replicas.
const fn tolerated_losses(members: usize) -> usize {
  match members {
    0 | 1 => 0,
    _ => 1,
  }
}
