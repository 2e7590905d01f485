use {
  crate::keys::{Grant, KeyHash, RunId, process::Process},
  std::{
    collections::{BTreeMap, HashMap},
    ops::Bound,
    time::{Duration, Instant},
  },
};

/// Grants that a witness remembers.
///
/// Members and times are kept in short forms, since a witness remembers up to hundreds of
/// thousands of keys in the node's 64 MB.
#[derive(Clone, Debug, Default)]
pub(crate) struct Grants {
  base: Option<Instant>,
  members: Vec<Process>,
  indices: HashMap<Process, u32>,
  slots: BTreeMap<KeyHash, Slot>,
  /// Further holders of keys for which handovers named different runs.
  conflicts: BTreeMap<KeyHash, Vec<Slot>>,
  cursor: Option<KeyHash>,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
  /// Index into the members.
  member: u32,
  /// Seconds after the base, rounded up.
  expires: u32,
  number: u64,
}

impl Grants {
  /// Remembered keys, among them some whose time is over and that were not yet swept.
  pub fn len(&self) -> usize {
    self.slots.len()
  }

  /// Runs that hold `key`.
  pub fn holders(&self, key: KeyHash, now: Instant) -> Vec<RunId> {
    let now = self.seconds(now);
    self
      .all(key)
      .filter(|slot| slot.expires > now)
      .map(|slot| self.run(slot))
      .collect()
  }

  /// Remembers that `run` holds `key`; keeps other holders whose time is not over.
  pub fn insert(&mut self, key: KeyHash, run: RunId, remaining: Duration, now: Instant) {
    let base = *self.base.get_or_insert(now);
    let current = self.seconds(now);
    let end = now.saturating_duration_since(base) + remaining;
    let slot = Slot {
      member: self.index(run.process),
      expires: u32::try_from(end.as_secs() + 1).unwrap_or(u32::MAX),
      number: run.number,
    };
    let mut all = self.all(key).copied().collect::<Vec<_>>();
    all.retain(|slot| slot.expires > current);
    match all
      .iter_mut()
      .find(|old| old.member == slot.member && old.number == slot.number)
    {
      Some(old) => old.expires = old.expires.max(slot.expires),
      None => all.push(slot),
    }
    self.replace(key, &all);
  }

  /// Forgets that `run` holds `key`.
  pub fn release(&mut self, key: KeyHash, run: RunId) {
    let mut all = self.all(key).copied().collect::<Vec<_>>();
    all.retain(|slot| self.run(slot) != run);
    self.replace(key, &all);
  }

  /// Looks at the next `steps` keys and removes those whose time is over.
  pub fn sweep(&mut self, steps: usize, now: Instant) {
    let seconds = self.seconds(now);
    let start = self.cursor.map_or(Bound::Unbounded, Bound::Excluded);
    let mut seen = 0;
    let mut last = None;
    let mut over = Vec::new();
    for (key, slot) in self.slots.range((start, Bound::Unbounded)).take(steps) {
      seen += 1;
      last = Some(*key);
      if slot.expires <= seconds {
        over.push(*key);
      }
    }
    self.cursor = last.filter(|_| seen == steps);
    for key in over {
      let mut all = self.all(key).copied().collect::<Vec<_>>();
      all.retain(|slot| slot.expires > seconds);
      self.replace(key, &all);
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
    let seconds = self.seconds(now);
    let start = after.map_or(Bound::Unbounded, Bound::Excluded);
    let mut keys = self
      .slots
      .range((start, Bound::Unbounded))
      .map(|(key, _)| *key)
      .filter(|key| wanted(*key))
      .filter(|key| self.all(*key).any(|slot| slot.expires > seconds));
    let page = keys.by_ref().take(limit).collect::<Vec<_>>();
    let grants = page
      .into_iter()
      .flat_map(|key| {
        self
          .all(key)
          .filter(|slot| slot.expires > seconds)
          .map(move |slot| Grant {
            key,
            run: self.run(slot),
            remaining: Duration::from_secs(u64::from(slot.expires - seconds)),
          })
      })
      .collect();
    (grants, keys.next().is_some())
  }

  fn all(&self, key: KeyHash) -> impl Iterator<Item = &Slot> {
    let further = self.conflicts.get(&key).into_iter().flatten();
    self.slots.get(&key).into_iter().chain(further)
  }

  fn replace(&mut self, key: KeyHash, all: &[Slot]) {
    self.conflicts.remove(&key);
    let Some((first, further)) = all.split_first() else {
      self.slots.remove(&key);
      return;
    };
    self.slots.insert(key, *first);
    if !further.is_empty() {
      self.conflicts.insert(key, further.to_vec());
    }
  }

  fn run(&self, slot: &Slot) -> RunId {
    RunId {
      process: self.members[slot.member as usize],
      number: slot.number,
    }
  }

  fn index(&mut self, member: Process) -> u32 {
    if let Some(index) = self.indices.get(&member) {
      return *index;
    }
    let index = self.members.len() as u32;
    self.members.push(member);
    self.indices.insert(member, index);
    index
  }

  fn seconds(&self, now: Instant) -> u32 {
    let elapsed = self
      .base
      .map_or(Duration::ZERO, |base| now.saturating_duration_since(base));
    u32::try_from(elapsed.as_secs()).unwrap_or(u32::MAX)
  }
}
