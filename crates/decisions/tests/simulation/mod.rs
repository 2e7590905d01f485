//! Simulated network of nodes that run the membership protocol, in simulated time.

#![allow(dead_code, reason = "each test and the example use only a part of it")]

use {
  cactusyoke_decisions::membership::{
    BURST_BYTES, MAX_DATAGRAM, Members, MembersConfig, Status, UpstreamInfo, UpstreamState,
  },
  cactusyoke_model::{Connections, Incarnation, NodeId, Slots},
  rand::{Rng, SeedableRng, rngs::StdRng},
  std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::{Duration, Instant},
  },
};

const TICK: Duration = Duration::from_millis(100);
const LATENCY: Duration = Duration::from_micros(500);

/// Simulated node.
pub struct Node {
  pub config: MembersConfig,
  pub members: Members,
  pub up: bool,
  pub paused: bool,
  pub left: bool,
  pub upstream: UpstreamInfo,
  /// Only nodes with the same number reach each other.
  pub partition: u8,
  /// Bytes sent and received.
  pub sent: u64,
  pub received: u64,
  /// Most bytes sent in one second.
  pub peak: u64,
  /// Current second since the start and the bytes sent in it.
  current_second: (u64, u64),
  /// Level of a leaky bucket that checks the send rate, bytes.
  bucket_level: f64,
  bucket_updated: Instant,
  /// For each node, the highest incarnation that this node has seen dead or left.
  ended: BTreeMap<NodeId, Incarnation>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
  Tick(usize),
  /// Sender, receiver and bytes.
  Datagram(usize, usize, Vec<u8>),
}

/// Simulated nodes, network and clock.
pub struct Simulation {
  pub nodes: Vec<Node>,
  pub start: Instant,
  pub now: Instant,
  /// Probability that a datagram is lost.
  pub loss_rate: f64,
  /// Checks the view of a node after each of its events; slow with many nodes.
  pub check_views: bool,
  events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
  event_count: u64,
  rng: StdRng,
  /// First 1,000 delivered datagrams: sender, receiver and bytes. Not filled without `check_views`.
  pub delivered: Vec<(usize, usize, Vec<u8>)>,
}

pub fn address(index: usize) -> NodeId {
  let [.., high, low] = (index as u32).to_be_bytes();
  NodeId(([10, 0, high, low], 7000).into())
}

fn index(node: NodeId) -> usize {
  match node.0.ip() {
    std::net::IpAddr::V4(ip) => usize::from(u16::from_be_bytes([ip.octets()[2], ip.octets()[3]])),
    std::net::IpAddr::V6(_) => usize::MAX,
  }
}

pub fn upstream(service: usize, state: UpstreamState) -> UpstreamInfo {
  UpstreamInfo {
    service: Some(format!("service-{service}").parse().unwrap()),
    state,
    slots: Slots(120),
    connections: Connections(800),
  }
}

impl Simulation {
  pub fn new(seed: u64) -> Self {
    let now = Instant::now();
    Self {
      nodes: Vec::new(),
      start: now,
      now,
      loss_rate: 0.0,
      check_views: true,
      events: BinaryHeap::new(),
      event_count: 0,
      rng: StdRng::seed_from_u64(seed),
      delivered: Vec::new(),
    }
  }

  fn incarnation(&self) -> Incarnation {
    Incarnation(1_000_000 + self.now.duration_since(self.start).as_millis() as u64)
  }

  /// Adds a node whose configured contacts are the nodes with the given indices.
  pub fn add(&mut self, data_centre: &str, contacts: &[usize]) -> usize {
    let index = self.nodes.len();
    let centre = data_centre.parse().unwrap();
    let mut config = MembersConfig::new(address(index), self.incarnation(), centre);
    config.contacts = contacts.iter().copied().map(address).collect();
    config.seed = self.rng.random();
    self.nodes.push(Node {
      members: Members::new(config.clone(), self.now),
      config,
      up: true,
      paused: false,
      left: false,
      upstream: UpstreamInfo::default(),
      partition: 0,
      sent: 0,
      received: 0,
      peak: 0,
      current_second: (0, 0),
      bucket_level: 0.0,
      bucket_updated: self.now,
      ended: BTreeMap::new(),
    });
    let offset = TICK.mul_f64(self.rng.random());
    self.push(self.now + offset, Event::Tick(index));
    index
  }

  fn push(&mut self, at: Instant, event: Event) {
    self.event_count += 1;
    self.events.push(Reverse((at, self.event_count, event)));
  }

  /// Restarts a node at the same address, with its clock set back by `back`.
  pub fn restart(&mut self, index: usize, back: Duration) {
    let incarnation = Incarnation(self.incarnation().0 - back.as_millis() as u64);
    let seed = self.rng.random();
    let now = self.now;
    let node = &mut self.nodes[index];
    node.config.incarnation = incarnation;
    node.config.seed = seed;
    node.members = Members::new(node.config.clone(), now);
    node.members.set_upstream(node.upstream.clone(), now);
    node.up = true;
    node.paused = false;
    node.left = false;
    node.ended.clear();
    node.bucket_level = 0.0;
  }

  pub fn set_upstream(&mut self, index: usize, upstream: UpstreamInfo) {
    let now = self.now;
    let node = &mut self.nodes[index];
    node.upstream = upstream.clone();
    node.members.set_upstream(upstream, now);
  }

  pub fn leave(&mut self, index: usize) {
    let mut out = Vec::new();
    let now = self.now;
    self.nodes[index].members.leave(now, &mut out);
    self.nodes[index].left = true;
    self.send(index, out);
    self.nodes[index].up = false;
  }

  fn send(&mut self, from: usize, out: Vec<(NodeId, Vec<u8>)>) {
    for (to, bytes) in out {
      assert!(
        bytes.len() <= MAX_DATAGRAM,
        "a datagram of {} bytes",
        bytes.len()
      );
      let now = self.now;
      let node = &mut self.nodes[from];
      let len = bytes.len() as u64;
      node.sent += len;
      // Leaky bucket, independent of the tested one: no time window may exceed the rate plus one
      // burst.
      let rate = f64::from(node.config.bytes_per_second);
      let elapsed = now.duration_since(node.bucket_updated).as_secs_f64();
      node.bucket_level = (node.bucket_level - elapsed * rate).max(0.0) + len as f64;
      node.bucket_updated = now;
      assert!(
        node.bucket_level <= f64::from(BURST_BYTES) + 1.0,
        "a burst of {} bytes",
        node.bucket_level
      );
      let second = now.duration_since(self.start).as_secs();
      if node.current_second.0 != second {
        node.current_second = (second, 0);
      }
      node.current_second.1 += len;
      node.peak = node.peak.max(node.current_second.1);
      let to = index(to);
      if to < self.nodes.len() {
        self.transmit(from, to, bytes);
      }
    }
  }

  /// Sends a datagram, which the network may lose.
  pub fn transmit(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
    let cut = self.nodes[from].partition != self.nodes[to].partition;
    if cut || self.rng.random_bool(self.loss_rate) {
      return;
    }
    let at = self.now + LATENCY.mul_f64(self.rng.random_range(1.0..3.0));
    self.push(at, Event::Datagram(from, to, bytes));
  }

  /// Runs for `time`.
  pub fn run(&mut self, time: Duration) {
    let end = self.now + time;
    while let Some(Reverse((at, ..))) = self.events.peek() {
      if *at > end {
        break;
      }
      let Some(Reverse((at, _, event))) = self.events.pop() else {
        break;
      };
      self.now = at;
      self.on_event(event);
    }
    self.now = end;
  }

  fn on_event(&mut self, event: Event) {
    let mut out = Vec::new();
    let now = self.now;
    let index = match event {
      Event::Tick(index) => {
        self.push(now + TICK, Event::Tick(index));
        let node = &mut self.nodes[index];
        if !node.up || node.paused {
          return;
        }
        node.members.tick(now, &mut out);
        index
      }
      Event::Datagram(from, to, bytes) => {
        let node = &mut self.nodes[to];
        if !node.up || node.paused {
          return;
        }
        node.received += bytes.len() as u64;
        let handled = node.members.handle(address(from), &bytes, now, &mut out);
        handled.expect("a valid datagram");
        if self.check_views && self.delivered.len() < 1_000 {
          self.delivered.push((from, to, bytes));
        }
        to
      }
    };
    if self.check_views {
      self.check(index);
    }
    self.send(index, out);
  }

  /// Checks that no ended incarnation has come back to life and that the node's own record is
  /// unchanged.
  fn check(&mut self, index: usize) {
    let node = &mut self.nodes[index];
    let own = node.members.own_record();
    assert_eq!(own.node, node.config.node);
    assert_eq!(
      (&own.service, own.state, own.slots, own.connections),
      (
        &node.upstream.service,
        node.upstream.state,
        node.upstream.slots,
        node.upstream.connections
      ),
      "the own record was overwritten"
    );
    for member in node.members.snapshot() {
      let (id, incarnation) = (member.record.node, member.record.incarnation);
      if member.is_live() {
        let ended = node.ended.get(&id);
        assert!(
          ended.is_none_or(|ended| incarnation > *ended),
          "incarnation {incarnation} of {id} came back at node {index}"
        );
      } else {
        let ended = node.ended.entry(id).or_default();
        *ended = (*ended).max(incarnation);
      }
    }
  }

  /// Running nodes in the data centre of node `index`.
  fn expected(&self, index: usize) -> Vec<&Node> {
    let centre = &self.nodes[index].config.data_centre;
    let running = self.nodes.iter().filter(|node| node.up && !node.paused);
    running
      .filter(|node| node.config.data_centre == *centre)
      .collect()
  }

  /// True when the live members in the view of node `index` are exactly the running nodes, with
  /// their own records.
  pub fn agrees(&self, index: usize) -> bool {
    let expected = self.expected(index);
    let mut expected = expected.iter().map(|node| node.members.own_record());
    let mut live = self.nodes[index]
      .members
      .iter()
      .filter(|member| member.is_live());
    let equal = live
      .by_ref()
      .all(|member| member.status == Status::Alive && expected.next() == Some(&member.record));
    equal && expected.next().is_none()
  }

  /// Indices of the running nodes.
  pub fn running(&self) -> Vec<usize> {
    let up = |index: &usize| self.nodes[*index].up && !self.nodes[*index].paused;
    (0..self.nodes.len()).filter(up).collect()
  }

  /// Runs until all running nodes agree, and returns the time it took; `None` when they do not
  /// agree within `limit`.
  pub fn converge(&mut self, limit: Duration) -> Option<Duration> {
    let start = self.now;
    loop {
      if self.running().into_iter().all(|index| self.agrees(index)) {
        return Some(self.now - start);
      }
      if self.now - start >= limit {
        return None;
      }
      self.run(TICK);
    }
  }
}
