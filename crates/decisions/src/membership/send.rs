use {
  super::{
    Members, Status, VERSION,
    message::{DatagramBuilder, Header, Message, Pull, Update},
  },
  cactusyoke_model::NodeId,
  rand::{Rng, seq::IndexedRandom},
  std::time::{Duration, Instant},
};

/// SendBudget kept for probes and their answers, bytes: without it a burst of pages would make this
/// node look dead.
const RESERVE: usize = 1_200;
/// SendBudget kept for pages as well when there are only updates to send, bytes. A page carries thirty
/// records for one head; updates that used up the budget made a start of 300 nodes take 43 s.
const PAGE_RESERVE: usize = 4_800;
/// Length up to which updates are added to probes and answers, bytes.
const PROBE_SIZE: usize = 600;
/// Parts into which the budget is divided: as it shrinks, so do the updates on each datagram, and
/// there is always enough for a few more answers.
const BUDGET_PARTS: usize = 8;
/// Length at which the updates stop shrinking, bytes: room for the own record and one more.
const PROBE_LEAST: usize = 160;
/// Repetitions of a probe in its period. Without them, a loss of 20% among 100 nodes raises more
/// suspicions than the budget allows to refute.
const REPEATS: u32 = 2;
/// Longest answer to a node that looks for others, bytes.
const WELCOME_SIZE: usize = 300;
/// Members named in it, as far as they fit.
const WELCOME_MEMBERS: usize = 6;
/// Others asked to probe a silent node.
const INDIRECT: usize = 3;
/// Pause between two datagrams that carry updates only.
const GOSSIP_PERIOD: Duration = Duration::from_millis(200);
/// Nodes that get them.
const GOSSIP_FANOUT: usize = 2;
/// Nodes told directly of the leaving of this one.
const FAREWELLS: usize = 8;
/// Pause between two contacts passed in, while no other member is known.
const CONTACT_ALONE: Duration = Duration::from_secs(1);
/// Pause between two contacts passed in or dead nodes, so that the parts of a data centre that
/// were cut off from each other find each other again.
const CONTACT_PERIOD: Duration = Duration::from_secs(5);
/// Time since the death of a node for which it is contacted.
const CONTACT_DEAD: Duration = Duration::from_hours(1);
/// Time for updates to arrive by themselves before records are pulled.
const MISMATCH: Duration = Duration::from_secs(1);
/// Pause after a pull for its page to arrive.
const PULL_WAIT: Duration = Duration::from_millis(500);
/// Pause between two questions to other data centres.
const SURVEY_PERIOD: Duration = Duration::from_secs(2);

type Out = Vec<(NodeId, Vec<u8>)>;

impl Members {
  fn header(&self) -> Header {
    Header {
      version: VERSION,
      data_centre: self.own.data_centre.clone(),
      revision: self.revision,
      digest: self.table.digest(),
    }
  }

  pub(super) fn send(&mut self, to: NodeId, datagram: Vec<u8>, out: &mut Out) {
    self.budget.take(datagram.len());
    out.push((to, datagram));
  }

  /// Sends a message without updates when the budget allows.
  pub(super) fn send_plain(&mut self, to: NodeId, message: &Message, out: &mut Out) {
    let datagram = DatagramBuilder::new(&self.header(), message, usize::MAX).finish();
    if datagram.len() <= self.budget.available(RESERVE) {
      self.send(to, datagram, out);
    }
  }

  /// Sends a message with the updates that fit: what `to` should know first, then the queue.
  /// Returns whether the budget allowed it.
  fn send_updates(&mut self, to: NodeId, message: &Message, reserve: usize, out: &mut Out) -> bool {
    let limit = self.budget.available(reserve);
    let gossip = *message == Message::Gossip;
    let size = if gossip {
      PROBE_SIZE
    } else {
      (limit / BUDGET_PARTS).clamp(PROBE_LEAST, PROBE_SIZE)
    };
    let mut draft = DatagramBuilder::new(&self.header(), message, size.min(limit));
    if let Some(own) = self.table.get(self.own.node)
      && !gossip
    {
      draft.add(&Update::from(own));
    }
    if let Some(member) = self.table.get(to)
      && member.status != Status::Alive
    {
      // The receiver refutes this when it is alive.
      draft.add(&Update::from(member));
    }
    let live = self.table.live().len();
    let doublings = usize::BITS - live.leading_zeros();
    let (table, own) = (&self.table, self.own.node);
    self.queue.offer(doublings * 2 + 2, |node| {
      let member = table.get(node);
      (node == own && !gossip) || member.is_none_or(|member| draft.add(&Update::from(member)))
    });
    let datagram = draft.finish();
    let allowed = datagram.len() <= limit;
    if allowed {
      self.send(to, datagram, out);
    }
    allowed
  }

  pub(super) fn send_ping(&mut self, to: NodeId, seq: u32, out: &mut Out) -> bool {
    self.send_updates(to, &Message::Ping(seq), 0, out)
  }

  pub(super) fn send_ack(&mut self, to: NodeId, seq: u32, local: bool, out: &mut Out) {
    if !local {
      self.send_plain(to, &Message::Ack(seq), out);
    } else if seq == 0 {
      self.send_welcome(to, out);
    } else {
      self.send_updates(to, &Message::Ack(seq), 0, out);
    }
  }

  /// Answers a node that looks for others with a few members besides this one, so that it can turn
  /// to them. Not sent when the budget is short: the node asks again, and short answers to
  /// hundreds of nodes that start together would leave nothing for the rest.
  fn send_welcome(&mut self, to: NodeId, out: &mut Out) {
    if self.budget.available(RESERVE) < WELCOME_SIZE {
      return;
    }
    let mut draft = DatagramBuilder::new(&self.header(), &Message::Ack(0), WELCOME_SIZE);
    let (own, live) = (self.own.node, self.table.live().to_vec());
    let others = live
      .choose_multiple(&mut self.rng, WELCOME_MEMBERS)
      .copied();
    for node in [own, to].into_iter().chain(others) {
      if let Some(member) = self.table.get(node) {
        draft.add(&Update::from(member));
      }
    }
    self.send(to, draft.finish(), out);
  }

  /// Empty page, unless the budget is spent.
  pub(super) fn draft_page(&self) -> Option<DatagramBuilder> {
    let limit = self.budget.available(RESERVE);
    let draft = DatagramBuilder::new(&self.header(), &Message::Page(0), limit);
    (limit > RESERVE / 2).then_some(draft)
  }

  /// Finished page with the place of the next one.
  pub(super) fn finish_page(&self, draft: DatagramBuilder, next: u8) -> Vec<u8> {
    draft.finish_with(&self.header(), &Message::Page(next))
  }

  /// Repeats a probe without an answer, the first time also by way of others.
  fn repeat_probe(&mut self, now: Instant, out: &mut Out) {
    let Some(probe) = &mut self.prober.current else {
      return;
    };
    let due = probe.sent + self.config.probe_timeout * (probe.repeated + 1);
    if now < due || probe.repeated >= REPEATS {
      return;
    }
    probe.repeated += 1;
    let (target, seq, first) = (probe.target, probe.seq, probe.repeated == 1);
    self.send_ping(target, seq, out);
    if !first {
      return;
    }
    let own = self.own.node;
    let live = self.table.live().iter().copied();
    let helpers = live
      .filter(|node| *node != target && *node != own)
      .collect::<Vec<_>>();
    let chosen = helpers.choose_multiple(&mut self.rng, INDIRECT).copied();
    for helper in chosen.collect::<Vec<_>>() {
      self.send_updates(helper, &Message::PingVia(seq, target), 0, out);
    }
  }

  pub(super) fn probe(&mut self, now: Instant, out: &mut Out) {
    self.repeat_probe(now, out);
    if now < self.prober.next {
      return;
    }
    self.prober.next = now + self.config.probe_period;
    if let Some(probe) = self.prober.current.take() {
      self.suspect(probe.target, now);
      // Tells the suspected node at once.
      self.send_ping(probe.target, 0, out);
    }
    let live = self.table.live();
    let next = self.prober.start(live, self.own.node, now, &mut self.rng);
    if let Some((target, seq)) = next
      && !self.send_ping(target, seq, out)
    {
      // A probe that was not sent says nothing of its target.
      self.prober.current = None;
    }
  }

  /// Contacts a node that was passed in and is not a live member, or a dead one.
  pub(super) fn contact(&mut self, now: Instant, out: &mut Out) {
    if now < self.next_contact {
      return;
    }
    let alone = self.table.live().len() == 1;
    let period = if alone { CONTACT_ALONE } else { CONTACT_PERIOD };
    self.next_contact = now + period.mul_f64(self.rng.random_range(0.8..1.2));
    let live = |node: NodeId| {
      let member = self.table.get(node);
      member.is_some_and(super::Member::is_live)
    };
    let passed_in = self.centres.unplaced().filter(|node| !live(*node));
    let dead = self.table.dead(now, CONTACT_DEAD);
    let candidates = passed_in.chain(dead).collect::<Vec<_>>();
    if let Some(node) = candidates.choose(&mut self.rng) {
      self.send_ping(*node, 0, out);
    }
  }

  pub(super) fn pull(&mut self, now: Instant, out: &mut Out) {
    let Some(mismatch) = self.mismatch else {
      return;
    };
    let settled = now.saturating_duration_since(mismatch.since) >= MISMATCH;
    if now < self.next_pull || (self.joined && !settled) {
      return;
    }
    self.next_pull = now + PULL_WAIT;
    // While joining, the pages come from all members rather than from the contacts alone.
    let own = self.own.node;
    let other = self.table.live().choose(&mut self.rng).copied();
    let to = other
      .filter(|node| *node != own && !self.joined)
      .unwrap_or(mismatch.with);
    let salt = self.rng.random();
    let pull = Pull {
      salt,
      start: self.page_start,
      digests: self.table.digests(salt),
    };
    self.send_plain(to, &Message::Pull(pull), out);
  }

  pub(super) fn gossip(&mut self, now: Instant, out: &mut Out) {
    if now < self.next_gossip || self.queue.is_empty() {
      return;
    }
    self.next_gossip = now + GOSSIP_PERIOD;
    for _ in 0..GOSSIP_FANOUT {
      // Waits for room for a full datagram: short ones would spend the budget on their heads.
      if self.budget.available(PAGE_RESERVE) < PROBE_SIZE {
        return;
      }
      let node = self.table.live().choose(&mut self.rng).copied();
      if let Some(node) = node.filter(|node| *node != self.own.node) {
        self.send_updates(node, &Message::Gossip, PAGE_RESERVE, out);
      }
    }
  }

  pub(super) fn send_farewell(&mut self, out: &mut Out) {
    let live = self.table.live();
    let nodes = live.choose_multiple(&mut self.rng, FAREWELLS).copied();
    for node in nodes.collect::<Vec<_>>() {
      if node != self.own.node {
        self.send_updates(node, &Message::Gossip, 0, out);
      }
    }
  }

  pub(super) fn survey(&mut self, now: Instant, out: &mut Out) {
    if now < self.next_survey {
      return;
    }
    self.next_survey = now + SURVEY_PERIOD.mul_f64(self.rng.random_range(0.8..1.2));
    if let Some((node, after)) = self.centres.next(&mut self.rng) {
      self.send_plain(node, &Message::SummaryRequest(after), out);
    }
  }
}
