use {
  crate::keys::{Grant, KeyHash, RunId, process::Process},
  std::{
    collections::{BTreeMap, HashMap},
    ops::Bound,
    time::{Duration, Instant},
  },
};

/// Grants that a witness stores.
///
/// Processes and times are stored in short forms, since a witness has up to hundreds of thousands
/// of keys in the node's 64 MB.
#[derive(Clone, Debug, Default)]
pub(crate) struct Grants {
  /// Time of the first grant.
  base: Option<Instant>,
  processes: Vec<Process>,
  indices: HashMap<Process, u32>,
  entries: BTreeMap<KeyHash, CompactGrant>,
  /// Further grants of keys for which handovers named different runs.
  conflicts: BTreeMap<KeyHash, Vec<CompactGrant>>,
  sweep_cursor: Option<KeyHash>,
}

#[derive(Clone, Copy, Debug)]
struct CompactGrant {
  /// Index into the processes.
  process: u32,
  /// Seconds after `base`, rounded up.
  expires: u32,
  /// Number of the run.
  number: u64,
}

impl Grants {
  /// Stored keys, among them expired ones that were not swept yet.
  pub fn len(&self) -> usize {
    self.entries.len()
  }

  /// Runs that hold `key`.
  pub fn holders(&self, key: KeyHash, now: Instant) -> Vec<RunId> {
    let seconds = self.since_base(now);
    self
      .grants_of(key)
      .filter(|grant| grant.expires > seconds)
      .map(|grant| self.run_id(grant))
      .collect()
  }

  /// Stores that `run` holds `key`; other holders that have not expired are kept.
  pub fn insert(&mut self, key: KeyHash, run: RunId, remaining: Duration, now: Instant) {
    let base = *self.base.get_or_insert(now);
    let seconds = self.since_base(now);
    let end = now.saturating_duration_since(base) + remaining;
    let grant = CompactGrant {
      process: self.index_of(run.process),
      expires: u32::try_from(end.as_secs() + 1).unwrap_or(u32::MAX),
      number: run.number,
    };
    let mut grants = self.grants_of(key).copied().collect::<Vec<_>>();
    grants.retain(|grant| grant.expires > seconds);
    match grants
      .iter_mut()
      .find(|old| old.process == grant.process && old.number == grant.number)
    {
      Some(old) => old.expires = old.expires.max(grant.expires),
      None => grants.push(grant),
    }
    self.replace(key, &grants);
  }

  /// Removes the grant of `key` to `run`.
  pub fn release(&mut self, key: KeyHash, run: RunId) {
    let mut grants = self.grants_of(key).copied().collect::<Vec<_>>();
    grants.retain(|grant| self.run_id(grant) != run);
    self.replace(key, &grants);
  }

  /// Checks the next `steps` keys and removes the expired ones.
  pub fn sweep(&mut self, steps: usize, now: Instant) {
    let seconds = self.since_base(now);
    let start = self.sweep_cursor.map_or(Bound::Unbounded, Bound::Excluded);
    let mut seen = 0;
    let mut last = None;
    let mut expired = Vec::new();
    for (key, grant) in self.entries.range((start, Bound::Unbounded)).take(steps) {
      seen += 1;
      last = Some(*key);
      if grant.expires <= seconds {
        expired.push(*key);
      }
    }
    self.sweep_cursor = last.filter(|_| seen == steps);
    for key in expired {
      let mut grants = self.grants_of(key).copied().collect::<Vec<_>>();
      grants.retain(|grant| grant.expires > seconds);
      self.replace(key, &grants);
    }
  }

  /// Grants of the first `limit` keys after `after` for which `wanted` is true, and whether more
  /// may follow.
  pub fn page(
    &self,
    after: Option<KeyHash>,
    limit: usize,
    now: Instant,
    wanted: impl Fn(KeyHash) -> bool,
  ) -> (Vec<Grant>, bool) {
    let seconds = self.since_base(now);
    let start = after.map_or(Bound::Unbounded, Bound::Excluded);
    let mut keys = self
      .entries
      .range((start, Bound::Unbounded))
      .map(|(key, _)| *key)
      .filter(|key| wanted(*key))
      .filter(|key| self.grants_of(*key).any(|grant| grant.expires > seconds));
    let page = keys.by_ref().take(limit).collect::<Vec<_>>();
    let grants = page
      .into_iter()
      .flat_map(|key| {
        self
          .grants_of(key)
          .filter(|grant| grant.expires > seconds)
          .map(move |grant| Grant {
            key,
            run: self.run_id(grant),
            remaining: Duration::from_secs(u64::from(grant.expires - seconds)),
          })
      })
      .collect();
    (grants, keys.next().is_some())
  }

  fn grants_of(&self, key: KeyHash) -> impl Iterator<Item = &CompactGrant> {
    let conflicts = self.conflicts.get(&key).into_iter().flatten();
    self.entries.get(&key).into_iter().chain(conflicts)
  }

  fn replace(&mut self, key: KeyHash, grants: &[CompactGrant]) {
    self.conflicts.remove(&key);
    let Some((first, conflicts)) = grants.split_first() else {
      self.entries.remove(&key);
      return;
    };
    self.entries.insert(key, *first);
    if !conflicts.is_empty() {
      self.conflicts.insert(key, conflicts.to_vec());
    }
  }

  fn run_id(&self, grant: &CompactGrant) -> RunId {
    RunId {
      process: self.processes[grant.process as usize],
      number: grant.number,
    }
  }

  fn index_of(&mut self, process: Process) -> u32 {
    if let Some(index) = self.indices.get(&process) {
      return *index;
    }
    let index = self.processes.len() as u32;
    self.processes.push(process);
    self.indices.insert(process, index);
    index
  }

  /// Seconds from the first grant to `now`.
  fn since_base(&self, now: Instant) -> u32 {
    let elapsed = self
      .base
      .map_or(Duration::ZERO, |base| now.saturating_duration_since(base));
    u32::try_from(elapsed.as_secs()).unwrap_or(u32::MAX)
  }
}
