//! Choice of the source of the directory.
//!
//! A watch by each node would cost calls that grow with the square of the fleet, since each change
//! would end all watches. Instead, the nodes of a data centre form a tree by a hash of their
//! addresses. The first of them watch the store, and each other node follows its parent. A watching
//! node also follows one of another data centre, so that it stays up to date when it alone is cut
//! off from the store. The choice needs no agreement: nodes with different views may watch when
//! that is not needed.
//!
//! A node tells those that follow it at once when it is no longer up to date. A node without a
//! source that is up to date watches the store itself, after a delay that grows with its place in
//! the order, so that the calls of a fleet stay within the store's rate and parents go first.
//!
//! No two nodes can take each other for up to date: a node relies on another one only if that one
//! watches the store itself, or comes before it in the order of its data centre.

use {
  super::{Freshness, Member, rank_nodes},
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

/// Time for which a source is not used after its first failure; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_secs(2);

/// Longest time for which a source is not used after a failure.
const MAX_PAUSE: Duration = Duration::from_secs(16);

/// Time for which a node that has lost its source waits for another node before it calls the store.
const TURN_DELAY: Duration = Duration::from_millis(50);

/// Time between the calls of two nodes that have lost their sources: a quarter of the store's reads.
const CALL_INTERVAL: Duration = Duration::from_millis(2);

/// Shortest time between two failed calls to the store of a node that only replaces a lost source.
const MIN_RETRY: Duration = Duration::from_secs(1);

/// Entries on one page of a listing.
const PAGE_ENTRIES: usize = 500;

/// What a peer replied about its own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerReply {
  /// Version of the directory up to which the peer knows it.
  pub version: u64,
  /// How the peer is kept up to date.
  pub freshness: Freshness,
  /// The same as the peer last told this node; `None` for its first reply.
  pub before: Option<Freshness>,
}

/// Sources of the directory that a node uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sources {
  /// The node is among the first of its data centre, which watch the store.
  pub duty: bool,
  /// Time from which on the node watches the store; `None` if other nodes do that for it.
  pub store: Option<Instant>,
  /// Node that this one follows.
  pub peer: Option<NodeId>,
}

impl Sources {
  /// True when the node watches the store at this time.
  pub fn needs_store(&self, now: Instant) -> bool {
    self.store.is_some_and(|from| from <= now)
  }
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
  /// See [`Sources::duty`], as last chosen.
  duty: bool,
  /// Whether the last call to the store succeeded; `None` while this node does not watch it.
  store: Option<bool>,
  /// How other nodes keep this one up to date.
  by_peers: Freshness,
  /// Time since which no other node keeps this one up to date.
  peer_lost: Instant,
  /// Time before which the store is not called again in place of a lost source.
  retry_at: Instant,
  failures: BTreeMap<NodeId, Failure>,
}

impl SourceChoice {
  /// Choice of node `own`.
  pub const fn new(own: NodeId, now: Instant) -> Self {
    Self {
      own,
      duty: true,
      store: None,
      by_peers: Freshness::Lost,
      peer_lost: now,
      retry_at: now,
      failures: BTreeMap::new(),
    }
  }

  /// Sources to use, given the known members.
  pub fn choose(&mut self, members: &[Member], now: Instant) -> Sources {
    let Some(own) = members.iter().find(|member| member.record.node == self.own) else {
      self.duty = true;
      return Sources {
        duty: true,
        store: Some(now),
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
    self.duty = rank < watchers;
    let is_substitute = self.store == Some(true) && self.by_peers != Freshness::Peer;
    let store = if self.duty || is_substitute {
      Some(now)
    } else if self.by_peers == Freshness::Lost {
      // As many nodes as come before this one in all data centres call the store before it.
      let calls = (rank * centres.len()) as u32;
      let turn = self.peer_lost + TURN_DELAY + CALL_INTERVAL * calls;
      Some(turn.max(self.retry_at))
    } else {
      None
    };
    Sources {
      duty: self.duty,
      store,
      peer,
    }
  }

  /// How this node is kept up to date.
  pub fn freshness(&self) -> Freshness {
    match (self.store, self.duty) {
      (Some(true), true) => Freshness::Store,
      (Some(true), false) => Freshness::Substitute,
      (Some(false) | None, _) => self.by_peers,
    }
  }

  /// Records that the store has reported all changes.
  pub const fn record_store(&mut self) {
    self.store = Some(true);
  }

  /// Records that a call to the store failed, in a fleet of this many nodes.
  pub fn record_store_failure(&mut self, members: usize, now: Instant) {
    self.store = Some(false);
    // Each failed node may list all entries when it calls again.
    let calls = members * (1 + members / PAGE_ENTRIES);
    self.retry_at = now + MIN_RETRY.max(CALL_INTERVAL * calls as u32);
  }

  /// Records that this node no longer watches the store.
  pub const fn stop_store(&mut self) {
    self.store = None;
  }

  /// Records the reply of a peer that was asked for changes after a version; false when the peer
  /// lacks changes that this node knew, which counts as a failure. So does a peer that stays out of
  /// date, as it said `before`, while this node cannot reach the store either.
  pub fn record_reply(
    &mut self,
    peer: NodeId,
    after: Option<u64>,
    reply: PeerReply,
    now: Instant,
  ) -> bool {
    let still_lost = reply.freshness == Freshness::Lost && reply.before == Some(Freshness::Lost);
    if Some(reply.version) < after || (still_lost && self.store == Some(false)) {
      self.record_failure(peer, now);
      return false;
    }
    self.failures.remove(&peer);
    let by_peer = if self.duty && !reply.freshness.is_watching() {
      Freshness::Lost
    } else {
      reply.freshness.of_follower()
    };
    self.set_by_peers(by_peer, now);
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
    self.lose_peer(now);
  }

  /// Records that no other node keeps this one up to date.
  pub fn lose_peer(&mut self, now: Instant) {
    self.set_by_peers(Freshness::Lost, now);
  }

  fn set_by_peers(&mut self, freshness: Freshness, now: Instant) {
    if freshness == Freshness::Lost && self.by_peers != Freshness::Lost {
      self.peer_lost = now;
    }
    self.by_peers = freshness;
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
