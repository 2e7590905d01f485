//! Simulated cluster that keeps tenants to their caps, in simulated time.

#![allow(dead_code, reason = "each test uses only a part of it")]

use {
  cactusyoke_decisions::quota::{
    Admission, CapClient, GROUPS, Granter, LeaseReply, LeaseRequest, NodeCount, QuotaBounds,
    group_of,
  },
  cactusyoke_model::{NodeId, RequestRate, TenantName, UsageCap},
  rand::{Rng, SeedableRng, rngs::StdRng},
  std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

/// Step of the simulated time.
const TICK: Duration = Duration::from_millis(1);

#[derive(Clone, Debug)]
enum Message {
  Request(usize, LeaseRequest),
  Reply(usize, LeaseRequest, LeaseReply),
  /// End of the wait for a reply.
  Timeout(LeaseRequest),
}

/// Simulated node.
pub struct Node {
  pub id: NodeId,
  process: u64,
  client: CapClient,
  granters: Vec<Granter>,
  count: NodeCount,
  pub up: bool,
  /// A paused node neither acts nor handles messages, which wait for it.
  pub paused: bool,
  /// Nodes with the same number reach each other.
  pub partition: u32,
  /// Indices of the nodes in its view; `None` for all that are up.
  pub view: Option<Vec<usize>>,
  /// Nodes that it counts in addition to those that exist.
  pub extra: u32,
  /// Cap of the configuration that it has adopted.
  pub cap: UsageCap,
  waiting: Vec<Message>,
  next: Instant,
}

/// Simulated cluster with one tenant.
pub struct Cluster {
  pub now: Instant,
  pub start: Instant,
  pub nodes: Vec<Node>,
  pub tenant: TenantName,
  pub bounds: QuotaBounds,
  pub rng: StdRng,
  /// Longest time of a message, besides the usual 1 to 3 ms.
  pub jitter: Duration,
  /// Part of the messages that is lost.
  pub loss: f64,
  queue: BTreeMap<(Instant, u64), (usize, u64, Message)>,
  sequence: u64,
  next_process: u64,
  /// Times of the admitted requests.
  pub admitted: Vec<Instant>,
  /// Times of the refused requests.
  pub refused: Vec<Instant>,
  pub messages: u64,
  pub bytes: u64,
}

pub fn cap(rate: f64, burst: u32) -> UsageCap {
  UsageCap {
    rate: RequestRate::try_from(rate).expect("test rates are valid"),
    burst,
  }
}

impl Cluster {
  pub fn new(count: usize, cap: UsageCap, bounds: QuotaBounds, seed: u64) -> Self {
    let now = Instant::now();
    let nodes = (0..count).map(|index| Node {
      id: node_id(index),
      process: 1,
      client: CapClient::new(node_id(index), 1, now),
      granters: vec![Granter::new(1, now); GROUPS as usize],
      count: NodeCount::default(),
      up: true,
      paused: false,
      partition: 0,
      view: None,
      extra: 0,
      cap,
      waiting: Vec::new(),
      next: now,
    });
    let mut cluster = Self {
      now,
      start: now,
      nodes: nodes.collect(),
      tenant: "tenant-1".parse().expect("the name is valid"),
      bounds,
      rng: StdRng::seed_from_u64(seed),
      jitter: Duration::ZERO,
      loss: 0.0,
      queue: BTreeMap::new(),
      sequence: 0,
      next_process: 2,
      admitted: Vec::new(),
      refused: Vec::new(),
      messages: 0,
      bytes: 0,
    };
    cluster.refresh_views();
    cluster
  }

  /// Gives all nodes that are up and not paused their current view of the members.
  pub fn refresh_views(&mut self) {
    let up = (0..self.nodes.len()).filter(|index| self.nodes[*index].up);
    let up = up.collect::<Vec<_>>();
    let ids = self.nodes.iter().map(|node| node.id).collect::<Vec<_>>();
    let total = ids.len() as u32;
    let group = group_of(&self.tenant);
    for (index, node) in self.nodes.iter_mut().enumerate() {
      if !node.up || node.paused {
        continue;
      }
      let view = node.view.as_ref().unwrap_or(&up);
      let mut live = view.iter().map(|index| ids[*index]).collect::<Vec<_>>();
      if !view.contains(&index) {
        live.push(ids[index]);
      }
      let count = node.count.update(total + node.extra, self.now);
      node
        .client
        .set_members(&live, count, |used| used == group, self.now);
    }
  }

  /// Kills a node.
  pub fn kill(&mut self, index: usize) {
    let node = &mut self.nodes[index];
    node.up = false;
    node.paused = false;
    node.waiting.clear();
  }

  /// Starts a killed node with nothing in memory.
  pub fn restart(&mut self, index: usize) {
    let node = &mut self.nodes[index];
    node.up = true;
    node.process = self.next_process;
    node.client = CapClient::new(node.id, node.process, self.now);
    node.granters = vec![Granter::new(node.process, self.now); GROUPS as usize];
    node.count = NodeCount::default();
    node.next = self.now;
    self.next_process += 1;
  }

  pub fn resume(&mut self, index: usize) {
    self.nodes[index].paused = false;
    for message in std::mem::take(&mut self.nodes[index].waiting) {
      self.handle(index, message);
    }
  }

  /// A request of a caller at a node; true when it was admitted.
  pub fn request(&mut self, index: usize) -> bool {
    let node = &mut self.nodes[index];
    if !node.up || node.paused {
      return false;
    }
    let admission = node
      .client
      .admit(&self.tenant, node.cap, &self.bounds, self.now);
    let admitted = matches!(admission, Admission::Admit(_));
    if let Admission::Admit(ticket) = admission {
      // Some requests do not run; their tokens are returned.
      if self.rng.random_bool(0.05) {
        node.client.refund(&self.tenant, ticket);
      } else {
        self.admitted.push(self.now);
      }
    } else {
      self.refused.push(self.now);
    }
    node.next = node.next.min(self.now);
    admitted
  }

  /// Advances the time, and delivers and sends messages.
  pub fn advance(&mut self, by: Duration) {
    let end = self.now + by;
    while self.now < end {
      self.now += TICK;
      while let Some(entry) = self.queue.first_entry() {
        if entry.key().0 > self.now {
          break;
        }
        let (index, process, message) = entry.remove();
        let node = &mut self.nodes[index];
        if !node.up || node.process != process {
          continue;
        }
        if node.paused {
          node.waiting.push(message);
        } else {
          self.handle(index, message);
        }
      }
      for index in 0..self.nodes.len() {
        let node = &mut self.nodes[index];
        if node.up && !node.paused && node.next <= self.now {
          self.exchange(index);
        }
      }
    }
  }

  fn exchange(&mut self, index: usize) {
    let requests = self.nodes[index].client.exchanges(self.now);
    for (granter, request) in requests {
      let target = node_index(granter);
      let timeout = self.nodes[index].client.timing().timeout();
      self.push(index, self.now + timeout, Message::Timeout(request.clone()));
      if target == index {
        self.handle(index, Message::Request(index, request));
      } else {
        self.send(index, target, Message::Request(index, request));
      }
    }
    let next = self.nodes[index].client.next_exchange();
    self.nodes[index].next = next.unwrap_or(self.now + Duration::from_millis(50));
  }

  fn handle(&mut self, index: usize, message: Message) {
    let now = self.now;
    let bounds = self.bounds;
    match message {
      Message::Request(from, request) => {
        let sender = self.nodes[from].id;
        let node = &mut self.nodes[index];
        let cap = node.cap;
        let granter = &mut node.granters[request.group as usize];
        let Some(reply) = granter.handle(sender, &request, &bounds, |_| Some(cap), now) else {
          return;
        };
        let reply = Message::Reply(index, request, reply);
        if from == index {
          self.handle(index, reply);
        } else {
          self.send(index, from, reply);
        }
      }
      Message::Reply(from, request, reply) => {
        let granter = self.nodes[from].id;
        let node = &mut self.nodes[index];
        node.client.apply(granter, &request, &reply, now);
        node.next = now;
      }
      Message::Timeout(request) => {
        self.nodes[index].client.fail(&request, now);
        self.nodes[index].next = now;
      }
    }
  }

  fn send(&mut self, from: usize, to: usize, message: Message) {
    self.messages += 1;
    self.bytes += match &message {
      Message::Request(_, request) => postcard::to_stdvec(request).map_or(0, |bytes| bytes.len()),
      Message::Reply(_, _, reply) => postcard::to_stdvec(reply).map_or(0, |bytes| bytes.len()),
      Message::Timeout(_) => 0,
    } as u64;
    let cut = self.nodes[from].partition != self.nodes[to].partition;
    if cut || !self.nodes[to].up || self.rng.random_bool(self.loss) {
      return;
    }
    let usual = Duration::from_micros(self.rng.random_range(1000..3000));
    let delay = usual + self.jitter.mul_f64(self.rng.random::<f64>());
    self.push(to, self.now + delay, message);
  }

  fn push(&mut self, to: usize, at: Instant, message: Message) {
    let process = self.nodes[to].process;
    self.sequence += 1;
    self
      .queue
      .insert((at, self.sequence), (to, process, message));
  }

  /// Random node.
  pub fn any_node(&mut self) -> usize {
    self.rng.random_range(0..self.nodes.len())
  }

  /// Largest number of requests admitted in a window of the bounds that starts `from` or later.
  pub fn largest_window(&self, from: Instant) -> usize {
    self.largest_in(self.bounds.window, from)
  }

  /// Largest number of requests admitted in a time that starts `from` or later.
  pub fn largest_in(&self, window: Duration, from: Instant) -> usize {
    let mut first = 0;
    let mut largest = 0;
    for (last, at) in self.admitted.iter().enumerate() {
      while self.admitted[first] < from || *at - self.admitted[first] >= window {
        if first == last {
          break;
        }
        first += 1;
      }
      if self.admitted[first] >= from {
        largest = largest.max(last + 1 - first);
      }
    }
    largest
  }
}

fn node_id(index: usize) -> NodeId {
  let [high, low] = (index as u16 + 1).to_be_bytes();
  NodeId(([10, 0, high, low], 7000).into())
}

fn node_index(id: NodeId) -> usize {
  let SocketAddr::V4(address) = id.0 else {
    panic!("simulated nodes have IPv4 addresses");
  };
  let [_, _, high, low] = address.ip().octets();
  usize::from(u16::from_be_bytes([high, low])) - 1
}

/// Number of requests in a tick at a rate, by Poisson's distribution.
pub fn arrivals(rate: f64, tick: Duration, rng: &mut StdRng) -> usize {
  let limit = (-rate * tick.as_secs_f64()).exp();
  let mut product = rng.random::<f64>();
  let mut count = 0;
  while product > limit {
    count += 1;
    product *= rng.random::<f64>();
  }
  count
}
