//! Simulated group of nodes whose messages are delivered late, twice, out of order or never.
//!
//! Nothing is delivered to a paused node while time passes. A [`Fault`] breaks one rule of the
//! protocol by altering what the product code sees, to show that the oracle finds it.

#![allow(
  dead_code,
  unused_imports,
  reason = "each test binary uses a part of it"
)]

mod control;
mod event;
mod fault;
mod machine;
mod network;
mod node;
mod oracle;

pub use {
  event::Event,
  fault::Fault,
  machine::{Machine, NODES},
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
  stored: Roster,
  /// Number of the last pass of each new witness over the grants of each old one, to forge pages.
  passes: BTreeMap<(usize, Process), u64>,
  /// First run that was handed over to each node as holder of each key.
  first_holders: BTreeMap<(usize, KeyHash), RunId>,
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
      stored: Roster::first(members).expect("a valid roster"),
      passes: BTreeMap::new(),
      first_holders: BTreeMap::new(),
    };
    for node in 0..cluster.nodes.len() {
      cluster.adopt_stored(node);
    }
    cluster
  }

  pub fn apply(&mut self, event: &Event) {
    let count = self.nodes.len();
    match *event {
      Event::Start { node, key } => self.start(node % count, &Self::key(key), None),
      Event::Deliver(index) => self.deliver_one(index, false),
      Event::DeliverTo(node) => self.deliver_to(node % count),
      Event::DeliverAll => self.deliver_all(),
      Event::Duplicate(index) => self.deliver_one(index, true),
      Event::Lose(index) => self.lose_one(index),
      Event::Timeout(node) => self.timeout(node % count),
      Event::Finish { node, answered } => self.finish(node % count, answered),
      Event::Advance(seconds) => self.now += Duration::from_secs(seconds),
      Event::Restart(node) => self.restart(node % count),
      Event::AdoptStored(node) => self.adopt_stored(node % count),
      Event::RefreshView(node) => self.nodes[node % count].view = self.stored.clone(),
      Event::Pause(node) => {
        self.paused.insert(node % count);
      }
      Event::Resume(node) => {
        self.paused.remove(&(node % count));
      }
      Event::ProposeChange { node, mask } => self.propose_change(node % count, mask),
      Event::Reconfigure { node, ref members } => self.reconfigure(node % count, members),
      Event::StepChange { node, outcome } => self.step_change(node % count, outcome),
      Event::Retry(node) => self.retry_handovers(node % count),
      Event::ReportEnded(node) => self.report_ended(node % count),
    }
  }

  pub fn key(index: usize) -> IdempotencyKey {
    format!("order-{index}").parse().expect("a valid key")
  }

  pub fn last_run(&self, node: usize) -> RunId {
    let node = &self.nodes[node];
    RunId {
      process: node.member,
      number: node.last_number,
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
      number: node.last_number + 1,
    };
    if node.answers.start(key, FINGERPRINT, id, now).is_err() {
      return;
    }
    node.last_number += 1;
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
      self.perform(
        index,
        RunId {
          process: member,
          number,
        },
        actions,
      );
    }
  }

  fn perform(&mut self, index: usize, run: RunId, actions: Vec<RunAction>) {
    let now = self.now;
    let key = self.nodes[index].runs[&run.number].0.key().clone();
    for action in actions {
      match action {
        RunAction::Send(to, request) => self.send(index, (to, request)),
        RunAction::Execute => {
          self.nodes[index].running.push((key.clone(), run));
          let epoch = self.nodes[index].runs[&run.number].0.epoch();
          self.oracle.record_run(&key, run, epoch, now);
        }
        RunAction::Held(holder) => {
          self.oracle.record_held();
          self.record_withdrawn(index, &key, run);
          self.ask_holder(index, &key, holder);
        }
        RunAction::WrongEpoch(_) | RunAction::NotRun(_) => self.record_withdrawn(index, &key, run),
      }
    }
  }

  fn record_withdrawn(&mut self, index: usize, key: &IdempotencyKey, run: RunId) {
    self.oracle.record_not_run(run);
    self.nodes[index].answers.withdraw(key, run, self.now);
  }

  fn finish(&mut self, index: usize, answered: bool) {
    let now = self.now;
    let node = &mut self.nodes[index];
    if let Some((key, run)) = node.running.pop() {
      if answered {
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
      Some(Fault::ReusedIncarnation) => self.nodes[index].member.incarnation.0,
      _ => self.nodes[index].member.incarnation.0 + 1,
    };
    let last = self.nodes[index].last_number;
    self.nodes[index] = Node::new(index, incarnation, self.fault);
    // Run numbers go on: a restart loses the grants, but no run number is used twice.
    self.nodes[index].last_number = last;
    self.adopt_stored(index);
  }

  /// Delivers everything and updates every node, over several times the key memory.
  pub fn heal(&mut self) {
    self.paused.clear();
    for _ in 0..4 {
      for node in 0..self.nodes.len() {
        self.timeout(node);
        self.finish(node, true);
        self.adopt_stored(node);
        self.report_ended(node);
        self.retry_handovers(node);
        self.deliver_all();
      }
      self.now += KEY_MEMORY + Duration::from_mins(1);
    }
  }

  /// Whether enough members of the stored roster still run to grant a key.
  pub fn can_grant(&self) -> bool {
    let members = &self.stored.members;
    let lost = members
      .iter()
      .filter(|member| self.index_of(**member).is_none())
      .count();
    match members.len() {
      1 => lost == 0,
      2 => false,
      _ => lost <= 1,
    }
  }

  fn index_of(&self, member: Process) -> Option<usize> {
    self.nodes.iter().position(|node| node.member == member)
  }
}
