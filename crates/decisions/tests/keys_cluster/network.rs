//! Messages in transit and their delivery.

use {
  super::{Cluster, Fault, node::FINGERPRINT},
  cactusyoke_decisions::keys::{
    HandoverPage, HandoverRequest, Lookup, Operation, Process, RunId, WitnessReply, WitnessRequest,
  },
  cactusyoke_model::IdempotencyKey,
};

#[derive(Clone, Debug)]
enum Message {
  Request(WitnessRequest),
  Reply(WitnessReply),
  AskHolder(IdempotencyKey, RunId),
  Withdrawn(IdempotencyKey, RunId),
}

#[derive(Clone, Debug)]
pub struct Envelope {
  from: usize,
  to: usize,
  message: Message,
}

impl Cluster {
  pub(super) fn send(&mut self, from: usize, (member, request): (Process, WitnessRequest)) {
    if let WitnessRequest::Handover(HandoverRequest {
      after: None, pass, ..
    }) = &request
    {
      self.passes.insert((from, member), *pass);
    }
    let to = self
      .nodes
      .iter()
      .position(|node| node.member.node == member.node);
    if let Some(to) = to {
      self.enqueue(from, to, Message::Request(request));
    }
  }

  pub(super) fn ask_holder(&mut self, from: usize, key: &IdempotencyKey, holder: RunId) {
    if let Some(to) = self.index_of(holder.process) {
      self.enqueue(from, to, Message::AskHolder(key.clone(), holder));
    }
  }

  /// Delivers all messages, also those sent meanwhile, in the order in which they were sent.
  pub fn deliver_all(&mut self) {
    // Runs that block each other ask and claim again; the limit ends a rare long exchange.
    for _ in 0..2000 {
      let next = self
        .network
        .iter()
        .position(|envelope| !self.paused.contains(&envelope.to));
      let Some(index) = next else {
        return;
      };
      let envelope = self.network.remove(index);
      self.deliver(envelope);
    }
  }

  /// Delivers the messages in transit to `node`.
  pub fn deliver_to(&mut self, node: usize) {
    if self.paused.contains(&node) {
      return;
    }
    let (mine, rest) = self
      .network
      .drain(..)
      .partition::<Vec<_>, _>(|envelope| envelope.to == node);
    self.network = rest;
    for envelope in mine {
      self.deliver(envelope);
    }
  }

  /// Takes out the messages in transit from one node to another, to be released late or never.
  pub fn hold(&mut self, from: usize, to: usize) -> Vec<Envelope> {
    let (held, rest) = self
      .network
      .drain(..)
      .partition(|envelope| envelope.from == from && envelope.to == to);
    self.network = rest;
    held
  }

  /// Puts back messages that were taken out.
  pub fn release(&mut self, held: Vec<Envelope>) {
    self.network.extend(held);
  }

  /// Loses the messages in transit from and to `node`.
  pub fn lose_all(&mut self, node: usize) {
    self
      .network
      .retain(|envelope| envelope.from != node && envelope.to != node);
  }

  pub(super) fn lose_one(&mut self, index: usize) {
    if !self.network.is_empty() {
      self.network.swap_remove(index % self.network.len());
    }
  }

  pub(super) fn deliver_one(&mut self, index: usize, keep: bool) {
    if self.network.is_empty() {
      return;
    }
    let index = index % self.network.len();
    if self.paused.contains(&self.network[index].to) {
      return;
    }
    let envelope = if keep {
      self.network[index].clone()
    } else {
      self.network.swap_remove(index)
    };
    self.deliver(envelope);
  }

  fn deliver(&mut self, envelope: Envelope) {
    let Envelope { from, to, message } = envelope;
    match message {
      Message::Request(request) => self.on_request(from, to, request),
      Message::Reply(WitnessReply::Handover(page)) => self.on_page(to, page),
      Message::Reply(reply) => self.on_vote(to, &reply),
      Message::AskHolder(key, run) => {
        let now = self.now;
        let lookup = self.nodes[to]
          .answers
          .lookup_run(&key, FINGERPRINT, run, 0, now);
        if let Lookup::NotRun(run) = lookup {
          self.oracle.record_not_run(run);
          self.enqueue(to, from, Message::Withdrawn(key, run));
        }
      }
      Message::Withdrawn(key, run) => {
        self.forward_withdrawal(to, &key, run);
        self.start(to, &key, Some(run));
      }
    }
  }

  fn forward_withdrawal(&mut self, from: usize, key: &IdempotencyKey, run: RunId) {
    let view = self.nodes[from].view.clone();
    for witness in view.witnesses(key) {
      let request = WitnessRequest::Key {
        epoch: view.epoch,
        key: key.clone(),
        run,
        operation: Operation::ForwardWithdrawal,
      };
      self.send(from, (witness, request));
    }
  }

  fn on_request(&mut self, from: usize, to: usize, mut request: WitnessRequest) {
    if self.ignores(&request) {
      return;
    }
    let id = self.nodes[from].member.node;
    let before = self.nodes[to].witness.clone();
    let epoch = self.alter_request(to, &mut request);
    let mut reply = self.nodes[to].witness.handle(id, request, self.now);
    match &mut reply {
      WitnessReply::Key { epoch: replied, .. } => *replied = epoch.unwrap_or(*replied),
      WitnessReply::Handover(_) | WitnessReply::Status { .. } => {
        if self.fault == Some(Fault::GrantAfterHandover) {
          self.nodes[to].witness = before;
        }
      }
    }
    self.enqueue(to, from, Message::Reply(reply));
  }

  fn on_page(&mut self, to: usize, page: HandoverPage) {
    for page in self.alter_page(to, page) {
      if let Some(next) = self.nodes[to].witness.on_page(&page, self.now) {
        self.send(to, next);
      }
    }
  }

  fn on_vote(&mut self, to: usize, reply: &WitnessReply) {
    let WitnessReply::Key { witness, run, .. } = reply else {
      return;
    };
    let node = &mut self.nodes[to];
    if node.member != run.process {
      return;
    }
    let Some((active, started)) = node.runs.get_mut(&run.number) else {
      return;
    };
    let now = match self.fault {
      Some(Fault::NoMaxClaimTime) => *started,
      _ => self.now,
    };
    let actions = active.on_reply(*witness, reply, now);
    self.perform(to, *run, actions);
  }

  fn enqueue(&mut self, from: usize, to: usize, message: Message) {
    self.network.push(Envelope { from, to, message });
  }
}
