//! Choice of the source of the directory.
//!
//! A watch by each node would cost calls that grow with the square of the fleet, since each change
//! would end all watches. Instead, the nodes of a data centre form a tree by a hash of their
//! addresses. The first of them watch the store, and each other node follows its parent. A watching
//! node also follows one of another data centre, so that it stays up to date when it alone is cut
//! off from the store. The choice needs no agreement: nodes with different views may watch when
//! that is not needed, and a node whose sources fail or are out of date watches the store itself.

use {
  super::{Member, rank_nodes},
  cactusyoke_model::{DataCentre, NodeId},
  std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
  },
};

/// Number of watching nodes in all data centres together, if there are fewer data centres.
const MIN_WATCHERS: usize = 3;

/// Number of nodes that follow one node.
const FANOUT: usize = 8;

/// Number of failed sources from which on a node watches the store itself.
const MAX_FAILED: usize = 2;

/// Time for which a source is not used after its first failure; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_secs(2);

/// Longest time for which a source is not used after a failure.
const MAX_PAUSE: Duration = Duration::from_secs(16);

/// Sources of the directory that a node uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sources {
  /// The node watches the store.
  pub store: bool,
  /// Node that this one follows.
  pub peer: Option<NodeId>,
}

#[derive(Clone, Copy, Debug)]
struct Failure {
  count: u32,
  until: Instant,
}

/// Chooses the sources of the directory of one node.
#[derive(Clone, Debug)]
pub struct SourceChoice {
  own: NodeId,
  /// Age of what is known from which on the node watches the store itself. Nodes have different
  /// limits, so that they do not all call the store at once.
  max_age: Duration,
  /// Time up to which the node knows the directory; `None` before it has been read.
  current_to: Option<Instant>,
  failures: BTreeMap<NodeId, Failure>,
}

impl SourceChoice {
  /// Choice of node `own`, which watches the store when what it knows is older than `max_age`.
  pub const fn new(own: NodeId, max_age: Duration) -> Self {
    Self {
      own,
      max_age,
      current_to: None,
      failures: BTreeMap::new(),
    }
  }

  /// Sources to use, given the known members.
  pub fn choose(&self, members: &[Member], now: Instant) -> Sources {
    let Some(own) = members.iter().find(|member| member.record.node == self.own) else {
      return Sources {
        store: true,
        peer: None,
      };
    };
    let centre = &own.record.data_centre;
    let usable = |member: &&Member| member.is_live() && !self.has_failed(member.record.node, now);
    let mut ranked = ranked(members.iter().filter(usable), centre);
    if !ranked.contains(&self.own) {
      // The own node cannot fail as a source.
      ranked.insert(0, self.own);
    }
    let rank = ranked.iter().position(|node| *node == self.own);
    let rank = rank.unwrap_or_default();
    let centres = members.iter().map(|member| &member.record.data_centre);
    let centres = centres.collect::<BTreeSet<_>>();
    let watchers = MIN_WATCHERS.div_ceil(centres.len()).max(1);
    let peer = if rank >= watchers {
      Some(ranked[(rank - watchers) / FANOUT])
    } else if rank + 1 < watchers.min(ranked.len()) {
      Some(ranked[rank + 1])
    } else {
      let next = next_centre(&centres, centre);
      next.and_then(|next| {
        let first = self::ranked(members.iter().filter(usable), next);
        first.first().copied()
      })
    };
    let outdated = self.age(now).is_none_or(|age| age > self.max_age);
    let failed = self.failures.values().filter(|failure| now < failure.until);
    Sources {
      store: rank < watchers || outdated || failed.count() >= MAX_FAILED,
      peer,
    }
  }

  /// Age of what the node knows of the directory; `None` before it has been read.
  pub fn age(&self, now: Instant) -> Option<Duration> {
    let current_to = self.current_to?;
    Some(now.saturating_duration_since(current_to))
  }

  /// Records that the store has reported all changes up to `now`.
  pub fn record_store(&mut self, now: Instant) {
    self.current_to = self.current_to.max(Some(now));
  }

  /// Records the reply of a peer that was asked for changes after a version; false when the peer is
  /// out of date, which counts as a failure. A peer that was suspended does not count that time as
  /// age, but still lacks what was known when it was asked.
  pub fn record_reply(
    &mut self,
    peer: NodeId,
    after: Option<u64>,
    version: u64,
    age: Duration,
    now: Instant,
  ) -> bool {
    if age > self.max_age || Some(version) < after {
      self.record_failure(peer, now);
      return false;
    }
    self.failures.remove(&peer);
    self.current_to = self.current_to.max(now.checked_sub(age));
    true
  }

  /// Records that a peer did not answer.
  pub fn record_failure(&mut self, peer: NodeId, now: Instant) {
    let failure = self.failures.entry(peer).or_insert(Failure {
      count: 0,
      until: now,
    });
    let pause = FIRST_PAUSE.saturating_mul(1 << failure.count.min(8));
    failure.count += 1;
    failure.until = now + pause.min(MAX_PAUSE);
  }

  /// Forgets the failures of nodes that are no longer members.
  pub fn retain(&mut self, members: &[Member]) {
    let known = |node: &NodeId| {
      let found = members.binary_search_by_key(node, |member| member.record.node);
      found.is_ok()
    };
    self.failures.retain(|node, _| known(node));
  }

  fn has_failed(&self, node: NodeId, now: Instant) -> bool {
    let failure = self.failures.get(&node);
    failure.is_some_and(|failure| now < failure.until)
  }
}

/// Nodes of a data centre in the order in which they watch.
fn ranked<'a>(members: impl Iterator<Item = &'a Member>, centre: &DataCentre) -> Vec<NodeId> {
  let local = members.filter(|member| member.record.data_centre == *centre);
  rank_nodes("watch", local.map(|member| member.record.node))
}

/// The data centre after `centre` in the order of names, after the last the first; `None` if it is
/// the only one.
fn next_centre<'a>(
  centres: &BTreeSet<&'a DataCentre>,
  centre: &DataCentre,
) -> Option<&'a DataCentre> {
  let later = centres.iter().find(|other| **other > centre);
  let next = later.or_else(|| centres.first()).copied();
  next.filter(|next| *next != centre)
}
