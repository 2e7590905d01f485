use {
  bytes::Bytes,
  cactusyoke_platform::wire::{Event, Item, TxnRequest},
  std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
  },
  tokio::time::Instant,
};

/// Versions kept of each key, for reads that are served stale.
const MAX_VERSIONS: usize = 32;

/// Why a write has no effect.
#[derive(Clone, Debug)]
pub(crate) enum WriteError {
  /// A condition does not hold; the current items of all keys with a condition.
  Conflict(Vec<Item>),
  /// The lease does not exist.
  NoLease,
}

#[derive(Clone, Debug)]
struct Version {
  revision: u64,
  /// `None` for a deletion.
  value: Option<Bytes>,
  created_revision: u64,
  lease: u64,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
  ttl: Duration,
  expires: Instant,
}

/// Keys with their latest versions, the ordered log of changes, and leases.
#[derive(Clone, Debug, Default)]
pub(crate) struct Database {
  /// Number of times that the database came back from a copy.
  era: u64,
  revision: u64,
  keys: BTreeMap<String, VecDeque<Version>>,
  log: Vec<Event>,
  /// Changes up to this revision have been dropped from the log.
  compacted: u64,
  leases: BTreeMap<u64, Lease>,
  last_lease: u64,
}

impl Database {
  pub(crate) const fn era(&self) -> u64 {
    self.era
  }

  /// Replaces everything with a copy, and begins a new era.
  pub(crate) fn restore(&mut self, copy: Self) {
    let era = self.era + 1;
    *self = Self { era, ..copy };
    // Watches from revisions of the lost changes cannot be served.
    self.compact();
  }

  pub(crate) const fn revision(&self) -> u64 {
    self.revision
  }

  /// The item as it was before the last `lag` writes to its key.
  pub(crate) fn get(&self, key: &str, lag: usize) -> Option<Item> {
    let versions = self.keys.get(key)?;
    let index = versions.len().saturating_sub(1 + lag);
    item(key, versions.get(index)?)
  }

  /// Items whose key has a prefix and sorts after `after`.
  pub(crate) fn range(&self, prefix: &str, after: Option<&str>, lag: usize) -> Vec<Item> {
    let keys = self.keys.keys().filter(|key| key.starts_with(prefix));
    keys
      .filter(|key| after.is_none_or(|after| key.as_str() > after))
      .filter_map(|key| self.get(key, lag))
      .collect()
  }

  /// Changes after a revision of keys with a prefix; `None` when the log no longer holds them.
  pub(crate) fn changes(&self, prefix: &str, after: u64) -> Option<Vec<Event>> {
    if after < self.compacted || after > self.revision {
      return None;
    }
    let newer = self.log.iter().filter(|event| event.revision > after);
    let events = newer.filter(|event| event.key.starts_with(prefix));
    Some(events.cloned().collect())
  }

  /// Drops all changes from the log.
  pub(crate) fn compact(&mut self) {
    self.compacted = self.revision;
    self.log.clear();
  }

  pub(crate) fn write(&mut self, request: TxnRequest) -> Result<u64, WriteError> {
    let holds = |key: &str, revision: u64| {
      let found = self.get(key, 0).map_or(0, |item| item.revision);
      found == revision
    };
    if !request
      .expected
      .iter()
      .all(|condition| holds(&condition.key, condition.revision))
    {
      let current_item = |key: &str| {
        self.get(key, 0).unwrap_or(Item {
          key: key.to_owned(),
          value: Vec::new(),
          revision: 0,
          created_rev: 0,
          lease_id: 0,
        })
      };
      let items = request
        .expected
        .iter()
        .map(|condition| current_item(&condition.key));
      return Err(WriteError::Conflict(items.collect()));
    }
    let leased = request.puts.iter().map(|put| put.lease_id);
    if leased
      .filter(|lease| *lease != 0)
      .any(|lease| !self.leases.contains_key(&lease))
    {
      return Err(WriteError::NoLease);
    }
    for put in request.puts {
      self.set(&put.key, Some(put.value), put.lease_id);
    }
    for key in request.deletes {
      self.set(&key, None, 0);
    }
    Ok(self.revision)
  }

  /// Deletes a key without a call, as the platform may do by itself.
  pub(crate) fn remove(&mut self, key: &str) {
    self.set(key, None, 0);
  }

  pub(crate) fn grant(&mut self, ttl: Duration) -> u64 {
    self.last_lease += 1;
    let expires = Instant::now() + ttl;
    self.leases.insert(self.last_lease, Lease { ttl, expires });
    self.last_lease
  }

  /// Renews a lease and returns its time to live; `None` when it has ended.
  pub(crate) fn renew(&mut self, lease: u64) -> Option<Duration> {
    let lease = self.leases.get_mut(&lease)?;
    lease.expires = Instant::now() + lease.ttl;
    Some(lease.ttl)
  }

  /// Ends a lease and deletes its keys.
  pub(crate) fn end(&mut self, lease: u64) {
    if self.leases.remove(&lease).is_none() {
      return;
    }
    let held = |versions: &VecDeque<Version>| {
      let last = versions.back();
      last.is_some_and(|last| last.lease == lease && last.value.is_some())
    };
    let keys = self.keys.iter().filter(|(_, versions)| held(versions));
    for key in keys.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
      self.set(&key, None, 0);
    }
  }

  /// Ends the leases whose time to live has passed; true when there were any.
  pub(crate) fn expire(&mut self) -> bool {
    let now = Instant::now();
    let ended = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
    let ended = ended.map(|(id, _)| *id).collect::<Vec<u64>>();
    for lease in &ended {
      self.end(*lease);
    }
    !ended.is_empty()
  }

  fn set(&mut self, key: &str, value: Option<Bytes>, lease: u64) {
    let current = self.get(key, 0);
    if value.is_none() && current.is_none() {
      return;
    }
    self.revision += 1;
    let revision = self.revision;
    self.log.push(Event {
      key: key.to_owned(),
      revision,
      value: value.as_ref().map(|value| value.to_vec()),
      deleted: value.is_none(),
    });
    let versions = self.keys.entry(key.to_owned()).or_default();
    versions.push_back(Version {
      revision,
      value,
      created_revision: current.map_or(revision, |item| item.created_rev),
      lease,
    });
    if versions.len() > MAX_VERSIONS {
      versions.pop_front();
    }
  }
}

fn item(key: &str, version: &Version) -> Option<Item> {
  Some(Item {
    key: key.to_owned(),
    value: version.value.as_ref()?.to_vec(),
    revision: version.revision,
    created_rev: version.created_revision,
    lease_id: version.lease,
  })
}
