use {
  super::{Member, MemberRecord, Status},
  cactusyoke_model::NodeId,
  std::{
    collections::BTreeMap,
    time::{Duration, Instant},
  },
};

/// Time for which an unlisted node is kept.
const UNLISTED_RETENTION: Duration = Duration::from_mins(1);

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
#[derive(Clone, Debug, Default)]
pub struct DirectoryCache {
  entries: BTreeMap<NodeId, Entry>,
}

impl DirectoryCache {
  /// Empty cache.
  pub fn new() -> Self {
    Self::default()
  }

  /// Adds or updates a node from its entry in the directory; false when the members stay the same.
  pub fn put(&mut self, record: MemberRecord, version: u64, now: Instant) -> bool {
    let node = record.node;
    let Some(entry) = self.entries.get_mut(&node) else {
      let entry = Entry {
        record,
        version,
        since: now,
        unlisted: None,
      };
      self.entries.insert(node, entry);
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
    changed
  }

  /// Records that the directory no longer has an entry of the node; false when nothing changed.
  pub fn mark_unlisted(&mut self, node: NodeId, version: u64, now: Instant) -> bool {
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
}
