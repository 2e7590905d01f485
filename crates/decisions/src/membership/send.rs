use {
  super::{
    Members, Status, VERSION,
    message::{Draft, Header, Message, Pull, Update},
  },
  cactusyoke_model::NodeId,
  rand::{Rng, seq::IndexedRandom},
  std::time::{Duration, Instant},
};

/// Budget kept for probes and their answers, bytes: without it a burst of pages would make this
/// node look dead.
const RESERVE: usize = 1_200;
/// Length up to which updates are added to probes and answers, bytes.
const PROBE_SIZE: usize = 600;
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
      digest: self.directory.digest(),
    }
  }

  pub(super) fn send(&mut self, to: NodeId, datagram: Vec<u8>, out: &mut Out) {
    self.budget.take(datagram.len());
    out.push((to, datagram));
  }

  /// Sends a message without updates when the budget allows.
  pub(super) fn send_plain(&mut self, to: NodeId, message: &Message, out: &mut Out) {
    let datagram = Draft::new(&self.header(), message, usize::MAX).finish();
    if datagram.len() <= self.budget.available(RESERVE) {
      self.send(to, datagram, out);
    }
  }

  /// Sends a message with the updates that fit: what `to` should know first, then the queue.
  fn send_updates(&mut self, to: NodeId, message: &Message, reserve: usize, out: &mut Out) {
    let limit = self.budget.available(reserve);
    let mut draft = Draft::new(&self.header(), message, limit.min(PROBE_SIZE));
    if let Some(own) = self.directory.get(self.own.node) {
      draft.add(&Update::from(own));
    }
    if let Some(member) = self.directory.get(to)
      && member.status != Status::Alive
    {
      // The receiver refutes this when it is alive.
      draft.add(&Update::from(member));
    }
    let live = self.directory.live().len();
    let doublings = usize::BITS - live.leading_zeros();
    let (directory, own) = (&self.directory, self.own.node);
    self.queue.offer(doublings * 2 + 2, |node| {
      let member = directory.get(node);
      node == own || member.is_none_or(|member| draft.add(&Update::from(member)))
    });
    let datagram = draft.finish();
    if datagram.len() <= limit {
      self.send(to, datagram, out);
    }
  }

  pub(super) fn send_ping(&mut self, to: NodeId, seq: u32, out: &mut Out) {
    self.send_updates(to, &Message::Ping(seq), 0, out);
  }

  pub(super) fn send_ack(&mut self, to: NodeId, seq: u32, local: bool, out: &mut Out) {
    if local {
      self.send_updates(to, &Message::Ack(seq), 0, out);
    } else {
      self.send_plain(to, &Message::Ack(seq), out);
    }
  }

  /// Empty page, unless the budget is spent.
  pub(super) fn draft_page(&self) -> Option<Draft> {
    let limit = self.budget.available(RESERVE);
    let draft = Draft::new(&self.header(), &Message::Page(0), limit);
    (limit > RESERVE / 2).then_some(draft)
  }

  /// Finished page with the place of the next one.
  pub(super) fn finish_page(&self, draft: Draft, next: u8) -> Vec<u8> {
    draft.finish_with(&self.header(), &Message::Page(next))
  }

  pub(super) fn probe(&mut self, now: Instant, out: &mut Out) {
    if let Some(probe) = &mut self.prober.current
      && !probe.indirect
      && now.saturating_duration_since(probe.sent) >= self.config.probe_timeout
    {
      probe.indirect = true;
      let (target, seq) = (probe.target, probe.seq);
      let own = self.own.node;
      let helpers = self
        .directory
        .live()
        .iter()
        .copied()
        .filter(|node| *node != target && *node != own)
        .collect::<Vec<_>>();
      let chosen = helpers.choose_multiple(&mut self.rng, INDIRECT).copied();
      for helper in chosen.collect::<Vec<_>>() {
        self.send_updates(helper, &Message::PingVia(seq, target), 0, out);
      }
    }
    if now < self.prober.next {
      return;
    }
    self.prober.next = now + self.config.probe_period;
    if let Some(probe) = self.prober.current.take() {
      self.suspect(probe.target, now);
      // Tells the suspected node at once.
      self.send_ping(probe.target, 0, out);
    }
    let live = self.directory.live();
    let next = self.prober.start(live, self.own.node, now, &mut self.rng);
    if let Some((target, seq)) = next {
      self.send_ping(target, seq, out);
    }
  }

  /// Contacts a node that was passed in and is not a live member, or a dead one.
  pub(super) fn contact(&mut self, now: Instant, out: &mut Out) {
    if now < self.next_contact {
      return;
    }
    let alone = self.directory.live().len() == 1;
    let period = if alone { CONTACT_ALONE } else { CONTACT_PERIOD };
    self.next_contact = now + period.mul_f64(self.rng.random_range(0.8..1.2));
    let live = |node: NodeId| {
      let member = self.directory.get(node);
      member.is_some_and(super::Member::is_live)
    };
    let passed_in = self.centres.unplaced().filter(|node| !live(*node));
    let dead = self.directory.dead(now, CONTACT_DEAD);
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
    let other = self.directory.live().choose(&mut self.rng).copied();
    let to = other
      .filter(|node| *node != own && !self.joined)
      .unwrap_or(mismatch.with);
    let salt = self.rng.random();
    let pull = Pull {
      salt,
      start: self.page_start,
      digests: self.directory.digests(salt),
    };
    self.send_plain(to, &Message::Pull(pull), out);
  }

  pub(super) fn gossip(&mut self, now: Instant, out: &mut Out) {
    if now < self.next_gossip || self.queue.is_empty() {
      return;
    }
    self.next_gossip = now + GOSSIP_PERIOD;
    for _ in 0..GOSSIP_FANOUT {
      let node = self.directory.live().choose(&mut self.rng).copied();
      if let Some(node) = node.filter(|node| *node != self.own.node) {
        self.send_updates(node, &Message::Gossip, RESERVE, out);
      }
    }
  }

  pub(super) fn send_farewell(&mut self, out: &mut Out) {
    let live = self.directory.live();
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
      self.send_plain(node, &Message::Survey(after), out);
    }
  }
}
