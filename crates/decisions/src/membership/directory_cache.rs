use {
  super::{DirectoryChange, DirectoryUpdate, Member, MemberRecord, Status},
  cactusyoke_model::NodeId,
  std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
  },
};

/// Time for which an unlisted node is kept.
const UNLISTED_RETENTION: Duration = Duration::from_mins(1);

/// Number of changes after which the oldest are no longer passed on one by one.
const MAX_CHANGES: usize = 2048;

#[derive(Clone, Debug)]
struct Entry {
  record: MemberRecord,
  /// Version of the directory at which the entry was last updated.
  version: u64,
  since: Instant,
  /// Time since which the directory has no entry of the node.
  unlisted: Option<Instant>,
}

/// Local cache of the platform's directory of nodes.
///
/// The directory removes an entry when its lease ends, which also happens to a healthy node that
/// cannot reach the directory. An unlisted node therefore stays in use until a call fails to reach
/// it.
///
/// The cache is updated from the directory itself or from the caches of other nodes, and records
/// its latest changes for them.
#[derive(Clone, Debug, Default)]
pub struct DirectoryCache {
  entries: BTreeMap<NodeId, Entry>,
  /// All changes up to this version are in the cache; `None` before the first listing.
  version: Option<u64>,
  /// Nodes that changed, by version.
  changes: BTreeSet<(u64, NodeId)>,
  /// Changes up to this version are not in `changes`.
  forgotten: u64,
}

impl DirectoryCache {
  /// Empty cache.
  pub fn new() -> Self {
    Self::default()
  }

  /// Version of the directory up to which the cache is complete; `None` before the first listing.
  pub const fn version(&self) -> Option<u64> {
    self.version
  }

  /// Records that all changes up to `version` are in the cache.
  pub fn complete_to(&mut self, version: u64) {
    self.version = self.version.max(Some(version));
  }

  /// True when the directory has an entry of the node, as far as is known.
  pub fn is_listed(&self, node: NodeId) -> bool {
    let entry = self.entries.get(&node);
    entry.is_some_and(|entry| entry.unlisted.is_none())
  }

  /// Record of a node, unlisted ones included.
  pub fn record(&self, node: NodeId) -> Option<&MemberRecord> {
    self.entries.get(&node).map(|entry| &entry.record)
  }

  /// Adds or updates a node from its entry in the directory; false when the members stay the same.
  /// A record that cannot be used changes nothing.
  pub fn put(&mut self, record: MemberRecord, version: u64, now: Instant) -> bool {
    if !record.is_usable() {
      return false;
    }
    let node = record.node;
    let Some(entry) = self.entries.get_mut(&node) else {
      let entry = Entry {
        record,
        version,
        since: now,
        unlisted: None,
      };
      self.entries.insert(node, entry);
      self.record_change(version, node);
      return true;
    };
    if version < entry.version {
      return false;
    }
    let changed = entry.record != record || entry.unlisted.is_some();
    let state_changed =
      entry.record.incarnation != record.incarnation || entry.record.state != record.state;
    entry.version = version;
    entry.unlisted = None;
    entry.record = record;
    if state_changed {
      entry.since = now;
    }
    self.record_change(version, node);
    changed
  }

  /// Records that the directory no longer has an entry of the node; false when nothing changed.
  pub fn mark_unlisted(&mut self, node: NodeId, version: u64, now: Instant) -> bool {
    // The removal of a node that this one does not use any more is passed on all the same.
    self.record_change(version, node);
    let Some(entry) = self.entries.get_mut(&node) else {
      return false;
    };
    if version < entry.version || entry.unlisted.is_some() {
      return false;
    }
    entry.version = version;
    entry.unlisted = Some(now);
    true
  }

  /// Marks all nodes as unlisted that are missing from a complete listing at `version`; false when
  /// nothing changed.
  pub fn apply_listing(&mut self, listed: &[NodeId], version: u64, now: Instant) -> bool {
    let missing = self
      .entries
      .keys()
      .filter(|node| !listed.contains(node))
      .copied()
      .collect::<Vec<_>>();
    let mut changed = false;
    for node in missing {
      changed |= self.mark_unlisted(node, version, now);
    }
    if self.version.is_none_or(|known| known < version) {
      // Which nodes were removed before the listing is not known.
      self.forgotten = self.forgotten.max(version);
      self.changes.retain(|(changed, _)| *changed > version);
    }
    self.complete_to(version);
    changed
  }

  /// What a node lacks that knows the directory up to version `after`; `None` before the first
  /// listing.
  pub fn update_since(&self, after: Option<u64>) -> Option<DirectoryUpdate> {
    let version = self.version?;
    let known = after.filter(|after| *after >= self.forgotten);
    let complete = known.is_none();
    let changes = if let Some(after) = known {
      let newer = self.changes.iter().filter(|(at, _)| *at > after);
      let nodes = newer.map(|(at, node)| (*node, *at));
      let latest = nodes.collect::<BTreeMap<NodeId, u64>>();
      let changes = latest.into_iter().map(|(node, at)| self.change(node, at));
      changes.collect()
    } else {
      let listed = self.entries.values();
      let listed = listed.filter(|entry| entry.unlisted.is_none());
      let written = |entry: &Entry| DirectoryChange::Written(entry.record.clone());
      listed.map(written).collect()
    };
    Some(DirectoryUpdate {
      version,
      complete,
      changes,
    })
  }

  /// Applies an update from the cache of another node; false when the members stay the same. An
  /// update that leads to an older version than the cache has is ignored.
  pub fn apply(&mut self, update: &DirectoryUpdate, now: Instant) -> bool {
    if self.version.is_some_and(|known| update.version < known) {
      return false;
    }
    let mut changed = false;
    let mut listed = Vec::new();
    for change in &update.changes {
      changed |= match change {
        DirectoryChange::Written(record) => {
          listed.push(record.node);
          self.put(record.clone(), record.version, now)
        }
        DirectoryChange::Removed(node, version) => self.mark_unlisted(*node, *version, now),
      };
    }
    if update.complete {
      changed |= self.apply_listing(&listed, update.version, now);
    }
    self.complete_to(update.version);
    changed
  }

  /// Records that a call did not reach the node: removes it if it is unlisted. False when nothing
  /// changed.
  pub fn report_unreachable(&mut self, node: NodeId) -> bool {
    let unlisted = |entry: &Entry| entry.unlisted.is_some();
    if !self.entries.get(&node).is_some_and(unlisted) {
      return false;
    }
    self.entries.remove(&node);
    true
  }

  /// Removes nodes that have been unlisted for too long; false when there are none.
  pub fn prune(&mut self, now: Instant) -> bool {
    let before = self.entries.len();
    self.entries.retain(|_, entry| {
      entry
        .unlisted
        .is_none_or(|unlisted| now.saturating_duration_since(unlisted) < UNLISTED_RETENTION)
    });
    self.entries.len() != before
  }

  /// All nodes, ordered by address; unlisted nodes count as suspected.
  pub fn members(&self) -> Vec<Member> {
    let member = |entry: &Entry| Member {
      record: entry.record.clone(),
      status: match entry.unlisted {
        None => Status::Alive,
        Some(_) => Status::Suspect,
      },
      since: entry.since,
    };
    self.entries.values().map(member).collect()
  }

  fn record_change(&mut self, version: u64, node: NodeId) {
    if version <= self.forgotten {
      return;
    }
    self.changes.insert((version, node));
    if self.changes.len() > MAX_CHANGES
      && let Some((version, _)) = self.changes.pop_first()
    {
      self.forgotten = version;
    }
  }

  /// The last change of a node, which was recorded at a version.
  fn change(&self, node: NodeId, version: u64) -> DirectoryChange {
    match self.entries.get(&node) {
      Some(entry) if entry.unlisted.is_none() => DirectoryChange::Written(entry.record.clone()),
      Some(_) | None => DirectoryChange::Removed(node, version),
    }
  }
}
