//! Model of nodes that read the directory from the store and from each other, in simulated time.

use {
  cactusyoke_decisions::membership::{
    DirectoryCache, DirectoryChange, DirectoryUpdate, FollowerState, Freshness, Member,
    MemberRecord, PeerReply, SourceChoice, Status, UpstreamState,
  },
  cactusyoke_model::{Incarnation, NodeId, Revision},
  std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
  },
};

/// Length of one step.
pub const STEP: Duration = Duration::from_millis(50);

/// Longest wait of a watch of the store.
const WATCH_WAIT: Duration = Duration::from_millis(750);

/// Time after which a call to the store fails, in addition to its wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a request to a silent node fails.
const SILENCE: Duration = Duration::from_millis(1200);

/// Longest wait of a request to a node, and the pauses after answers and failures.
const PEER_WAIT: Duration = Duration::from_secs(1);
const CHANGES_PAUSE: Duration = Duration::from_millis(250);
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

pub fn node(index: usize) -> NodeId {
  let [_, _, high, low] = (index as u32).to_be_bytes();
  NodeId(SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7101)))
}

pub fn record(index: usize, centres: usize, version: u64) -> MemberRecord {
  let centre = format!("dc-{}", index % centres).parse();
  MemberRecord {
    state: UpstreamState::Serving,
    version,
    ..MemberRecord::new(node(index), Incarnation(1), centre.expect("a valid name"))
  }
}

/// Watch of the store that is under way.
#[derive(Clone, Copy, Debug)]
struct Watch {
  since: Instant,
  after: Option<u64>,
  wait: Duration,
}

/// Request to another node that is under way.
#[derive(Clone, Copy, Debug)]
struct Request {
  since: Instant,
  peer: usize,
  state: FollowerState,
}

#[derive(Debug)]
pub struct Node {
  index: usize,
  pub cache: DirectoryCache,
  choice: SourceChoice,
  watch: Option<Watch>,
  request: Option<Request>,
  /// The node that replied last, and what it said about itself.
  peer: Option<(usize, Freshness)>,
  /// The last call to the store succeeded.
  confirmed: bool,
  /// Times until which the node makes no call to the store and no request.
  pauses: [Instant; 2],
  pub calls: usize,
  pub running: bool,
  /// The store is out of reach.
  pub cut: bool,
  /// Revision of the configuration that is in force.
  revision: Revision,
  /// Revision that was read or fetched and comes into force with the next step.
  fetched: Revision,
}

/// The store and the nodes.
#[derive(Debug)]
pub struct Model {
  pub now: Instant,
  pub nodes: Vec<Node>,
  centres: usize,
  version: u64,
  /// Revision of the configuration in the store.
  revision: Revision,
  /// Changes of the store, with their versions.
  log: Vec<(u64, DirectoryChange)>,
  /// Changes up to this version can no longer be watched.
  compacted: u64,
  pub down: bool,
  /// Nodes that are cut off are refused at once, also their waiting watches; otherwise they get no
  /// answer.
  pub refuses: bool,
  /// Groups of nodes that are cut off from each other; 0 for the main group.
  pub groups: Vec<u8>,
}

impl Model {
  /// Nodes that start together; the entries of all are in the store.
  pub fn new(count: usize, centres: usize) -> Self {
    let now = Instant::now();
    let nodes = (0..count).map(|index| Node {
      index,
      cache: DirectoryCache::new(),
      choice: SourceChoice::new(node(index), now),
      watch: None,
      request: None,
      peer: None,
      confirmed: false,
      pauses: [now; 2],
      calls: 0,
      running: true,
      cut: false,
      revision: Revision::default(),
      fetched: Revision::default(),
    });
    let mut model = Self {
      now,
      nodes: nodes.collect(),
      centres,
      version: 1,
      revision: Revision::default(),
      log: Vec::new(),
      compacted: 0,
      down: false,
      refuses: false,
      groups: vec![0; count],
    };
    for index in 0..count {
      model.write(index);
    }
    model
  }

  /// Writes the entry of a node.
  pub fn write(&mut self, index: usize) {
    self.version += 1;
    let written = DirectoryChange::Written(record(index, self.centres, self.version));
    self.log.push((self.version, written));
  }

  /// Writes another revision of the configuration.
  pub fn configure(&mut self) {
    self.version += 1;
    self.revision.0 += 1;
  }

  /// Removes the entry of a node.
  pub fn remove(&mut self, index: usize) {
    self.version += 1;
    let removed = DirectoryChange::Removed(node(index), self.version);
    self.log.push((self.version, removed));
  }

  /// Drops the history of the store.
  pub fn compact(&mut self) {
    self.compacted = self.version;
  }

  /// Entries in the store.
  fn entries(&self) -> BTreeMap<NodeId, MemberRecord> {
    let mut entries = BTreeMap::new();
    for (_, change) in &self.log {
      match change {
        DirectoryChange::Written(record) => entries.insert(record.node, record.clone()),
        DirectoryChange::Removed(node, _) => entries.remove(node),
      };
    }
    entries
  }

  /// Nodes with an entry in the store.
  pub fn listed(&self) -> BTreeSet<NodeId> {
    self.entries().into_keys().collect()
  }

  /// Nodes with an entry, as known to a node.
  pub fn known(&self, index: usize) -> BTreeSet<NodeId> {
    let members = self.nodes[index].cache.members();
    let listed = members
      .iter()
      .filter(|member| member.status == Status::Alive);
    listed.map(|member| member.record.node).collect()
  }

  /// True when a node knows the last change.
  pub fn is_current(&self, index: usize) -> bool {
    self.nodes[index].cache.version() == Some(self.version)
  }

  /// True when the node has to watch the store now.
  pub fn watches(&mut self, index: usize) -> bool {
    let members = self.members(index);
    let sources = self.nodes[index].choice.choose(&members, self.now);
    sources.needs_store(self.now)
  }

  pub fn run(&mut self, time: Duration) {
    let end = self.now + time;
    while self.now < end {
      self.step();
    }
  }

  /// Time until all the nodes know the last change; `None` if it is longer than `limit`.
  pub fn spread_time(&mut self, limit: Duration, among: &[usize]) -> Option<Duration> {
    let start = self.now;
    while self.now - start <= limit {
      if among.iter().all(|index| self.is_current(*index)) {
        return Some(self.now - start);
      }
      self.step();
    }
    None
  }

  /// Time until the last revision of the configuration is in force at all the nodes; `None` if it is
  /// longer than `limit`. No node is notified of it: the model loses all notifications.
  pub fn adoption_time(&mut self, limit: Duration, among: &[usize]) -> Option<Duration> {
    let start = self.now;
    while self.now - start <= limit {
      let adopted = |index: &usize| self.nodes[*index].revision == self.revision;
      if among.iter().all(adopted) {
        return Some(self.now - start);
      }
      self.step();
    }
    None
  }

  fn step(&mut self) {
    self.now += STEP;
    for index in 0..self.nodes.len() {
      if self.nodes[index].running {
        self.nodes[index].revision = self.nodes[index].fetched;
        self.step_store(index);
        self.step_peer(index);
      }
    }
  }

  fn members(&self, index: usize) -> Vec<Member> {
    let mut members = self.nodes[index].cache.members();
    if !members
      .iter()
      .any(|member| member.record.node == node(index))
    {
      members.push(Member {
        record: record(index, self.centres, 0),
        status: Status::Alive,
        since: self.now,
      });
      members.sort_by_key(|member| member.record.node);
    }
    members
  }

  fn store_update(&self, after: Option<u64>) -> DirectoryUpdate {
    let known = after.filter(|after| *after >= self.compacted);
    let changes = if let Some(after) = known {
      let newer = self.log.iter().filter(|(version, _)| *version > after);
      newer.map(|(_, change)| change.clone()).collect()
    } else {
      let entries = self.entries().into_values();
      entries.map(DirectoryChange::Written).collect()
    };
    DirectoryUpdate {
      version: self.version,
      complete: known.is_none(),
      changes,
    }
  }

  fn step_store(&mut self, index: usize) {
    let now = self.now;
    let reachable = !(self.down || self.nodes[index].cut);
    let refuses = self.refuses;
    match self.nodes[index].watch {
      None if now < self.nodes[index].pauses[0] => {}
      None => {
        let members = self.members(index);
        let node = &mut self.nodes[index];
        if !node.choice.choose(&members, now).needs_store(now) {
          node.choice.stop_store();
          node.confirmed = false;
          return;
        }
        node.calls += 1;
        node.watch = Some(Watch {
          since: now,
          after: node.cache.version(),
          wait: if node.confirmed {
            WATCH_WAIT
          } else {
            Duration::ZERO
          },
        });
      }
      Some(Watch { since, wait, .. }) if !reachable => {
        if refuses || now - since >= wait + CALL_TIMEOUT {
          let count = self.nodes.len();
          let node = &mut self.nodes[index];
          node.watch = None;
          node.confirmed = false;
          node.pauses[0] = now + FAILURE_PAUSE;
          node.choice.record_store_failure(count, now);
        }
      }
      Some(Watch { since, after, wait }) => {
        let ready = after.is_none_or(|after| after < self.version || after < self.compacted);
        if !ready && now - since < wait {
          return;
        }
        let update = self.store_update(after);
        let node = &mut self.nodes[index];
        node.watch = None;
        node.confirmed = true;
        if !update.changes.is_empty() {
          node.pauses[0] = now + CHANGES_PAUSE;
        }
        node.cache.apply(&update, now);
        node.choice.record_store();
        node.fetched = self.revision;
      }
    }
  }

  fn step_peer(&mut self, index: usize) {
    let now = self.now;
    match self.nodes[index].request {
      None if now < self.nodes[index].pauses[1] => {}
      None => {
        let members = self.members(index);
        let Some(peer) = self.nodes[index].choice.choose(&members, now).peer else {
          self.nodes[index].choice.lose_peer(now);
          return;
        };
        let found = self.nodes.iter().find(|other| node(other.index) == peer);
        let peer = found.expect("a peer is a node").index;
        let node = &mut self.nodes[index];
        let known = node.peer.filter(|(known, _)| *known == peer);
        node.request = Some(Request {
          since: now,
          peer,
          state: FollowerState {
            version: node.cache.version(),
            revision: node.revision,
            source: known.map(|(_, freshness)| freshness),
          },
        });
      }
      Some(request) => self.await_reply(index, request),
    }
  }

  fn await_reply(&mut self, index: usize, request: Request) {
    let now = self.now;
    let Request { since, peer, state } = request;
    let reachable = self.nodes[peer].running && self.groups[peer] == self.groups[index];
    if !reachable {
      if now - since >= SILENCE {
        let asking = &mut self.nodes[index];
        asking.choice.record_failure(node(peer), now);
        asking.request = None;
        asking.peer = None;
      }
      return;
    }
    let freshness = self.nodes[peer].choice.freshness();
    let (version, revision) = (self.nodes[peer].cache.version(), self.nodes[peer].revision);
    if !state.lacks(version, revision, freshness) && now - since < PEER_WAIT {
      return;
    }
    let answer = self.nodes[peer].cache.update_since(state.version);
    let asking = &mut self.nodes[index];
    asking.request = None;
    let Some(update) = answer else {
      asking.choice.record_failure(node(peer), now);
      asking.peer = None;
      return;
    };
    let reply = PeerReply {
      version: update.version,
      freshness,
      before: state.source,
    };
    asking
      .choice
      .record_reply(node(peer), state.version, reply, now);
    asking.fetched = asking.fetched.max(revision);
    asking.peer = Some((peer, freshness));
    asking.cache.apply(&update, now);
  }
}
