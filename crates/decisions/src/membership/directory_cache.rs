use {
  super::{Member, Record, Status},
  cactusyoke_model::NodeId,
  std::{
    collections::BTreeMap,
    time::{Duration, Instant},
  },
};

/// Time for which a node whose entry has unlisted is remembered.
const REMEMBERED: Duration = Duration::from_mins(1);

#[derive(Clone, Debug)]
struct Entry {
  record: Record,
  /// Version of the entry in the directory.
  version: u64,
  since: Instant,
  /// Time since which the directory does not have the entry.
  unlisted: Option<Instant>,
}

/// Nodes as the platform's directory lists them.
///
/// An entry goes when its lease ends, which also happens to a node that the directory cannot be
/// reached from. A unlisted node therefore stays in use until a call does not reach it.
#[derive(Clone, Debug, Default)]
pub struct DirectoryCache {
  entries: BTreeMap<NodeId, Entry>,
}

impl DirectoryCache {
  /// Without nodes.
  pub fn new() -> Self {
    Self::default()
  }

  /// Takes an entry of the directory; false when nothing changed for users of the roll.
  pub fn put(&mut self, record: Record, version: u64, now: Instant) -> bool {
    let node = record.node;
    let Some(known) = self.entries.get_mut(&node) else {
      let entry = Entry {
        record,
        version,
        since: now,
        unlisted: None,
      };
      self.entries.insert(node, entry);
      return true;
    };
    if version < known.version {
      return false;
    }
    let changed = known.record != record || known.unlisted.is_some();
    let restarted =
      known.record.incarnation != record.incarnation || known.record.state != record.state;
    known.version = version;
    known.unlisted = None;
    known.record = record;
    if restarted {
      known.since = now;
    }
    changed
  }

  /// The directory has no entry of the node any more; false when nothing changed.
  pub fn mark_unlisted(&mut self, node: NodeId, version: u64, now: Instant) -> bool {
    let Some(known) = self.entries.get_mut(&node) else {
      return false;
    };
    if version < known.version || known.unlisted.is_some() {
      return false;
    }
    known.version = version;
    known.unlisted = Some(now);
    true
  }

  /// Lapses the entries that a whole listing at `version` does not have.
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

  /// A call did not reach the node; a unlisted one is gone. False when nothing changed.
  pub fn report_unreachable(&mut self, node: NodeId) -> bool {
    let unlisted = |entry: &Entry| entry.unlisted.is_some();
    if !self.entries.get(&node).is_some_and(unlisted) {
      return false;
    }
    self.entries.remove(&node);
    true
  }

  /// Forgets nodes that unlisted long ago; false when there are none.
  pub fn prune(&mut self, now: Instant) -> bool {
    let before = self.entries.len();
    self.entries.retain(|_, entry| {
      entry
        .unlisted
        .is_none_or(|unlisted| now.saturating_duration_since(unlisted) < REMEMBERED)
    });
    self.entries.len() != before
  }

  /// All nodes, in the order of their addresses; unlisted ones as suspected.
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
