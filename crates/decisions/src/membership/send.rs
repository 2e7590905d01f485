use {
  super::{
    Members, Status, VERSION,
    message::{DatagramBuilder, Header, Message, Pull, Update},
  },
  cactusyoke_model::NodeId,
  rand::{Rng, seq::IndexedRandom},
  std::time::{Duration, Instant},
};

/// Part of the budget reserved for probes and their answers, bytes: without it, a burst of pages
/// would make this node look dead.
const PROBE_RESERVE: usize = 1_200;
/// Part of the budget that gossip leaves for probes, answers and pages, bytes. A page carries 30
/// records for one header; when gossip used up the budget, a start of 300 nodes took 43 s.
const PAGE_RESERVE: usize = 4_800;
/// Maximum size of probes, answers and gossip with updates, bytes.
const MAX_PROBE_BYTES: usize = 600;
/// A probe or answer takes at most one in this many parts of the budget: as the budget shrinks,
/// fewer updates are added, so that there is always enough for a few more answers.
const BUDGET_PARTS: usize = 8;
/// Size to which that part is raised if it is smaller, bytes: room for the own record and one more.
const MIN_PROBE_BYTES: usize = 160;
/// Number of times a probe is repeated in its period. Without repeats, a loss of 20% among 100
/// nodes raises more suspicions than the budget allows to refute.
const PROBE_REPEATS: u32 = 2;
/// Maximum size of the answer to a node that looks for other members, bytes.
const JOIN_REPLY_BYTES: usize = 300;
/// Maximum number of other members in that answer; fewer when they do not fit.
const JOIN_REPLY_MEMBERS: usize = 6;
/// Number of nodes asked to probe a node that did not answer.
const INDIRECT_PROBERS: usize = 3;
/// Time between two rounds of gossip.
const GOSSIP_PERIOD: Duration = Duration::from_millis(200);
/// Number of nodes that receive each round of gossip.
const GOSSIP_FANOUT: usize = 2;
/// Number of nodes to which this node announces directly that it leaves.
const LEAVE_FANOUT: usize = 8;
/// Time between two attempts to reach a contact while no other member is known.
const ALONE_CONTACT_PERIOD: Duration = Duration::from_secs(1);
/// Time between two attempts to reach a contact or a dead node while other members are known. These
/// attempts rejoin the parts of a data centre after a network partition.
const CONTACT_PERIOD: Duration = Duration::from_secs(5);
/// Time for which attempts to reach a dead node go on.
const DEAD_CONTACT_LIMIT: Duration = Duration::from_hours(1);
/// Time for which views may differ before records are pulled, as gossip usually brings the updates.
const MISMATCH_GRACE: Duration = Duration::from_secs(1);
/// Time to wait for the page after a pull before pulling again.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two summary requests to other data centres.
const SUMMARY_PERIOD: Duration = Duration::from_secs(2);

type Datagrams = Vec<(NodeId, Vec<u8>)>;

impl Members {
  fn header(&self) -> Header {
    Header {
      version: VERSION,
      data_centre: self.own.data_centre.clone(),
      revision: self.revision,
      digest: self.table.digest(),
    }
  }

  pub(super) fn send(&mut self, to: NodeId, datagram: Vec<u8>, out: &mut Datagrams) {
    self.budget.take(datagram.len());
    out.push((to, datagram));
  }

  /// Sends a message without updates if the budget allows it.
  pub(super) fn send_without_updates(
    &mut self,
    to: NodeId,
    message: &Message,
    out: &mut Datagrams,
  ) {
    let datagram = DatagramBuilder::new(&self.header(), message, usize::MAX).finish();
    if datagram.len() <= self.budget.available(PROBE_RESERVE) {
      self.send(to, datagram, out);
    }
  }

  /// Sends a message with the updates that fit: first those that matter to `to`, then the queued
  /// ones. Returns false when the budget did not allow it.
  fn send_with_updates(
    &mut self,
    to: NodeId,
    message: &Message,
    reserve: usize,
    out: &mut Datagrams,
  ) -> bool {
    let limit = self.budget.available(reserve);
    let gossip = *message == Message::Gossip;
    let size = if gossip {
      MAX_PROBE_BYTES
    } else {
      (limit / BUDGET_PARTS).clamp(MIN_PROBE_BYTES, MAX_PROBE_BYTES)
    };
    let mut builder = DatagramBuilder::new(&self.header(), message, size.min(limit));
    if let Some(own) = self.table.get(self.own.node)
      && !gossip
    {
      builder.add(&Update::from(own));
    }
    if let Some(member) = self.table.get(to)
      && member.status != Status::Alive
    {
      // The receiver can refute this if it is alive.
      builder.add(&Update::from(member));
    }
    let live = self.table.live().len();
    let doublings = usize::BITS - live.leading_zeros();
    let (table, own) = (&self.table, self.own.node);
    self.queue.offer(doublings * 2 + 2, |node| {
      let member = table.get(node);
      (node == own && !gossip) || member.is_none_or(|member| builder.add(&Update::from(member)))
    });
    let datagram = builder.finish();
    let allowed = datagram.len() <= limit;
    if allowed {
      self.send(to, datagram, out);
    }
    allowed
  }

  pub(super) fn send_ping(&mut self, to: NodeId, seq: u32, out: &mut Datagrams) -> bool {
    self.send_with_updates(to, &Message::Ping(seq), 0, out)
  }

  pub(super) fn send_ack(&mut self, to: NodeId, seq: u32, local: bool, out: &mut Datagrams) {
    if !local {
      self.send_without_updates(to, &Message::Ack(seq), out);
    } else if seq == 0 {
      self.send_join_reply(to, out);
    } else {
      self.send_with_updates(to, &Message::Ack(seq), 0, out);
    }
  }

  /// Answers a node that looks for other members with this node and a few others that it can then
  /// ask. Not sent when the budget is short: the node asks again, and answering hundreds of nodes
  /// that start together would leave nothing for other messages.
  fn send_join_reply(&mut self, to: NodeId, out: &mut Datagrams) {
    if self.budget.available(PROBE_RESERVE) < JOIN_REPLY_BYTES {
      return;
    }
    let mut builder = DatagramBuilder::new(&self.header(), &Message::Ack(0), JOIN_REPLY_BYTES);
    let (own, live) = (self.own.node, self.table.live().to_vec());
    let others = live
      .choose_multiple(&mut self.rng, JOIN_REPLY_MEMBERS)
      .copied();
    for node in [own, to].into_iter().chain(others) {
      if let Some(member) = self.table.get(node) {
        builder.add(&Update::from(member));
      }
    }
    self.send(to, builder.finish(), out);
  }

  /// Starts an empty page; `None` when the budget is short.
  pub(super) fn start_page(&self) -> Option<DatagramBuilder> {
    let limit = self.budget.available(PROBE_RESERVE);
    let builder = DatagramBuilder::new(&self.header(), &Message::Page(0), limit);
    (limit > PROBE_RESERVE / 2).then_some(builder)
  }

  /// Finishes a page; `next` is the bucket at which the next pull should start.
  pub(super) fn finish_page(&self, builder: DatagramBuilder, next: u8) -> Vec<u8> {
    builder.finish_with(&self.header(), &Message::Page(next))
  }

  /// Repeats a probe that was not answered; at the first repeat, also asks other nodes to probe.
  fn repeat_probe(&mut self, now: Instant, out: &mut Datagrams) {
    let Some(probe) = &mut self.prober.current else {
      return;
    };
    let due = probe.sent + self.config.probe_timeout * (probe.repeats + 1);
    if now < due || probe.repeats >= PROBE_REPEATS {
      return;
    }
    probe.repeats += 1;
    let (target, seq, first) = (probe.target, probe.seq, probe.repeats == 1);
    self.send_ping(target, seq, out);
    if !first {
      return;
    }
    let own = self.own.node;
    let live = self.table.live().iter().copied();
    let candidates = live
      .filter(|node| *node != target && *node != own)
      .collect::<Vec<_>>();
    let chosen = candidates
      .choose_multiple(&mut self.rng, INDIRECT_PROBERS)
      .copied();
    for helper in chosen.collect::<Vec<_>>() {
      self.send_with_updates(helper, &Message::PingVia(seq, target), 0, out);
    }
  }

  pub(super) fn probe(&mut self, now: Instant, out: &mut Datagrams) {
    self.repeat_probe(now, out);
    if now < self.prober.next {
      return;
    }
    self.prober.next = now + self.config.probe_period;
    if let Some(probe) = self.prober.current.take() {
      self.suspect(probe.target, now);
      // Informs the suspected node at once, so that it can refute.
      self.send_ping(probe.target, 0, out);
    }
    let live = self.table.live();
    let next = self.prober.start(live, self.own.node, now, &mut self.rng);
    if let Some((target, seq)) = next
      && !self.send_ping(target, seq, out)
    {
      // A probe that was not sent says nothing about its target.
      self.prober.current = None;
    }
  }

  /// Tries to reach a configured contact that is not a live member, or a dead node.
  pub(super) fn contact_missing(&mut self, now: Instant, out: &mut Datagrams) {
    if now < self.next_contact {
      return;
    }
    let alone = self.table.live().len() == 1;
    let period = if alone {
      ALONE_CONTACT_PERIOD
    } else {
      CONTACT_PERIOD
    };
    self.next_contact = now + period.mul_f64(self.rng.random_range(0.8..1.2));
    let live = |node: NodeId| {
      let member = self.table.get(node);
      member.is_some_and(super::Member::is_live)
    };
    let configured = self
      .centres
      .unassigned_contacts()
      .filter(|node| !live(*node));
    let dead = self.table.recently_dead(now, DEAD_CONTACT_LIMIT);
    let candidates = configured.chain(dead).collect::<Vec<_>>();
    if let Some(node) = candidates.choose(&mut self.rng) {
      self.send_ping(*node, 0, out);
    }
  }

  pub(super) fn pull(&mut self, now: Instant, out: &mut Datagrams) {
    let Some(mismatch) = self.mismatch else {
      return;
    };
    let settled = now.saturating_duration_since(mismatch.since) >= MISMATCH_GRACE;
    if now < self.next_pull || (self.joined && !settled) {
      return;
    }
    self.next_pull = now + PULL_TIMEOUT;
    // While joining, pulls go to random members, so that the contacts need not send all pages.
    let own = self.own.node;
    let other = self.table.live().choose(&mut self.rng).copied();
    let to = other
      .filter(|node| *node != own && !self.joined)
      .unwrap_or(mismatch.peer);
    let salt = self.rng.random();
    let pull = Pull {
      salt,
      start: self.page_start,
      digests: self.table.digests(salt),
    };
    self.send_without_updates(to, &Message::Pull(pull), out);
  }

  pub(super) fn gossip(&mut self, now: Instant, out: &mut Datagrams) {
    if now < self.next_gossip || self.queue.is_empty() {
      return;
    }
    self.next_gossip = now + GOSSIP_PERIOD;
    for _ in 0..GOSSIP_FANOUT {
      // Waits until a full datagram is affordable: short ones would spend the budget on headers.
      if self.budget.available(PAGE_RESERVE) < MAX_PROBE_BYTES {
        return;
      }
      let node = self.table.live().choose(&mut self.rng).copied();
      if let Some(node) = node.filter(|node| *node != self.own.node) {
        self.send_with_updates(node, &Message::Gossip, PAGE_RESERVE, out);
      }
    }
  }

  pub(super) fn announce_leave(&mut self, out: &mut Datagrams) {
    let live = self.table.live();
    let nodes = live.choose_multiple(&mut self.rng, LEAVE_FANOUT).copied();
    for node in nodes.collect::<Vec<_>>() {
      if node != self.own.node {
        self.send_with_updates(node, &Message::Gossip, 0, out);
      }
    }
  }

  pub(super) fn request_summary(&mut self, now: Instant, out: &mut Datagrams) {
    if now < self.next_summary {
      return;
    }
    self.next_summary = now + SUMMARY_PERIOD.mul_f64(self.rng.random_range(0.8..1.2));
    if let Some((node, after)) = self.centres.next_request(&mut self.rng) {
      self.send_without_updates(node, &Message::SummaryRequest(after), out);
    }
  }
}
