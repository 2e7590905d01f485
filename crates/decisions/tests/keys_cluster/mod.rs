//! Simulated group of nodes whose messages are delivered late, twice, out of order or never.
//!
//! A paused node is one that nothing is delivered to while time passes. A [`Fault`] breaks one
//! rule of the protocol outside the product code, to show that the oracle notices.

#![allow(
  dead_code,
  unused_imports,
  reason = "each test binary uses a part of it"
)]

mod control;
mod fault;
mod machine;
mod network;
mod node;
mod op;
mod oracle;

pub use {
  fault::Fault,
  machine::{Machine, NODES},
  op::Op,
  oracle::Oracle,
};

use {
  cactusyoke_decisions::keys::{
    KEY_MEMORY, KeyHash, Lookup, Process, Roster, Run, RunAction, RunId,
  },
  cactusyoke_model::{ByteSize, IdempotencyKey, UnknownReason},
  network::Envelope,
  node::{FINGERPRINT, Node},
  std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
  },
};

#[derive(Debug)]
pub struct Cluster {
  now: Instant,
  pub oracle: Oracle,
  fault: Option<Fault>,
  nodes: Vec<Node>,
  network: Vec<Envelope>,
  /// Nodes to which nothing is delivered.
  paused: BTreeSet<usize>,
  store: Roster,
  /// Last pass of each new witness over the grants of each old one, for forged pages.
  passes: BTreeMap<(usize, Process), u64>,
  /// First run that was handed over to each node for each key.
  adopted: BTreeMap<(usize, KeyHash), RunId>,
}

impl Cluster {
  /// `nodes` nodes, the first `members` of which are the first roster.
  pub fn new(nodes: usize, members: usize, fault: Option<Fault>) -> Self {
    let nodes = (0..nodes)
      .map(|index| Node::new(index, 1, fault))
      .collect::<Vec<_>>();
    let members = nodes[..members].iter().map(|node| node.member).collect();
    let mut cluster = Self {
      now: Instant::now(),
      oracle: Oracle::default(),
      fault,
      nodes,
      network: Vec::new(),
      paused: BTreeSet::new(),
      store: Roster::first(members).expect("a valid roster"),
      passes: BTreeMap::new(),
      adopted: BTreeMap::new(),
    };
    for node in 0..cluster.nodes.len() {
      cluster.learn(node);
    }
    cluster
  }

  pub fn apply(&mut self, op: &Op) {
    let count = self.nodes.len();
    match *op {
      Op::Start { node, key } => self.start(node % count, &Self::key(key), None),
      Op::Deliver(index) => self.take(index, false),
      Op::DeliverTo(node) => self.deliver_to(node % count),
      Op::DeliverAll => self.deliver_all(),
      Op::Duplicate(index) => self.take(index, true),
      Op::Lose(index) => self.lose_one(index),
      Op::Timeout(node) => self.timeout(node % count),
      Op::Finish { node, known } => self.finish(node % count, known),
      Op::Advance(seconds) => self.now += Duration::from_secs(seconds),
      Op::Restart(node) => self.restart(node % count),
      Op::Learn(node) => self.learn(node % count),
      Op::LearnView(node) => self.nodes[node % count].view = self.store.clone(),
      Op::Pause(node) => {
        self.paused.insert(node % count);
      }
      Op::Resume(node) => {
        self.paused.remove(&(node % count));
      }
      Op::Change { node, mask } => self.change(node % count, mask),
      Op::Reconfigure { node, ref members } => self.change_to(node % count, members),
      Op::Store { node, outcome } => self.store(node % count, outcome),
      Op::Retry(node) => self.retry(node % count),
      Op::Ended(node) => self.ended(node % count),
    }
  }

  pub fn key(index: usize) -> IdempotencyKey {
    format!("order-{index}").parse().expect("a valid key")
  }

  pub fn last_run(&self, node: usize) -> RunId {
    let node = &self.nodes[node];
    RunId {
      process: node.member,
      number: node.last,
    }
  }

  pub fn member(&self, node: usize) -> Process {
    self.nodes[node].member
  }

  /// Starts a run unless the node's answers already know the key.
  fn start(&mut self, index: usize, key: &IdempotencyKey, released: Option<RunId>) {
    let now = self.now;
    let node = &mut self.nodes[index];
    let known = match node.answers.lookup(key, FINGERPRINT, 1, now) {
      Lookup::NotRun(run) => Some(run),
      _ => None,
    };
    let id = RunId {
      process: node.member,
      number: node.last + 1,
    };
    if node.answers.start(key, FINGERPRINT, id, now).is_err() {
      return;
    }
    node.last += 1;
    let released = released.or(known);
    let (run, requests) = Run::start_after(id, key.clone(), FINGERPRINT, &node.view, released, now);
    node.runs.insert(id.number, (run, now));
    if requests.is_empty() {
      self.expire_run(index, id.number);
    }
    for request in requests {
      self.send(index, request);
    }
  }

  fn timeout(&mut self, index: usize) {
    if let Some(number) = self.nodes[index].claiming() {
      self.expire_run(index, number);
    }
  }

  fn expire_run(&mut self, index: usize, number: u64) {
    let now = self.now;
    let member = self.nodes[index].member;
    if let Some((run, _)) = self.nodes[index].runs.get_mut(&number) {
      let actions = run.on_timeout(now);
      self.act(
        index,
        RunId {
          process: member,
          number,
        },
        actions,
      );
    }
  }

  fn act(&mut self, index: usize, run: RunId, actions: Vec<RunAction>) {
    let now = self.now;
    let key = self.nodes[index].runs[&run.number].0.key().clone();
    for action in actions {
      match action {
        RunAction::Send(to, request) => self.send(index, (to, request)),
        RunAction::Execute => {
          self.nodes[index].running.push((key.clone(), run));
          let epoch = self.nodes[index].runs[&run.number].0.epoch();
          self.oracle.ran(&key, run, epoch, now);
        }
        RunAction::Held(holder) => {
          self.oracle.count_held();
          self.withdrawn(index, &key, run);
          self.ask(index, &key, holder);
        }
        RunAction::WrongEpoch(_) | RunAction::NotRun(_) => self.withdrawn(index, &key, run),
      }
    }
  }

  fn withdrawn(&mut self, index: usize, key: &IdempotencyKey, run: RunId) {
    self.oracle.not_run(run);
    self.nodes[index].answers.withdraw(key, run, self.now);
  }

  fn finish(&mut self, index: usize, known: bool) {
    let now = self.now;
    let node = &mut self.nodes[index];
    if let Some((key, run)) = node.running.pop() {
      if known {
        let size = ByteSize(10);
        node.answers.finish(&key, run, run.number, size, now);
      } else {
        let reason = UnknownReason::Connection;
        node.answers.finish_unknown(&key, run, reason, now);
      }
    }
  }

  fn restart(&mut self, index: usize) {
    let incarnation = match self.fault {
      Some(Fault::SameIncarnation) => self.nodes[index].member.incarnation.0,
      _ => self.nodes[index].member.incarnation.0 + 1,
    };
    let last = self.nodes[index].last;
    self.nodes[index] = Node::new(index, incarnation, self.fault);
    // The fault is the lost memory, not a run number that is used twice.
    self.nodes[index].last = last;
    self.learn(index);
  }

  /// Brings every node up to date, with everything delivered, over several key memories.
  pub fn heal(&mut self) {
    self.paused.clear();
    for _ in 0..4 {
      for node in 0..self.nodes.len() {
        self.timeout(node);
        self.finish(node, true);
        self.learn(node);
        self.ended(node);
        self.retry(node);
        self.deliver_all();
      }
      self.now += KEY_MEMORY + Duration::from_mins(1);
    }
  }

  /// Whether the members of the stored roster, at most one of them lost, can grant a key.
  pub fn can_grant(&self) -> bool {
    let members = &self.store.members;
    let lost = members
      .iter()
      .filter(|member| self.index(**member).is_none())
      .count();
    match members.len() {
      1 => lost == 0,
      2 => false,
      _ => lost <= 1,
    }
  }

  fn index(&self, member: Process) -> Option<usize> {
    self.nodes.iter().position(|node| node.member == member)
  }
}
