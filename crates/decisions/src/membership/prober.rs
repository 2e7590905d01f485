use {
  cactusyoke_model::NodeId,
  rand::{Rng, seq::SliceRandom},
  std::{
    collections::HashMap,
    time::{Duration, Instant},
  },
};

/// Time for which the answer to an indirect probe is forwarded to the requester.
const INDIRECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Probe in flight.
#[derive(Clone, Debug)]
pub struct Probe {
  /// Probed node.
  pub target: NodeId,
  /// Sequence number.
  pub seq: u32,
  /// Time at which it was sent.
  pub sent: Instant,
  /// Number of times it was repeated so far.
  pub repeats: u32,
}

/// Schedule of probes, the probe in flight, and the indirect probes, made on behalf of other nodes.
#[derive(Clone, Debug)]
pub struct Prober {
  /// Members left to probe in this round, the next one last.
  order: Vec<NodeId>,
  seq: u32,
  /// Probe in flight.
  pub current: Option<Probe>,
  /// Time of the next probe.
  pub next: Instant,
  /// Indirect probes by own sequence number: requester, its sequence number, and time.
  indirect_probes: HashMap<u32, (NodeId, u32, Instant)>,
}

impl Prober {
  /// Prober with a random first probe time within one period, so that nodes that start together do
  /// not probe at the same time.
  pub fn new(now: Instant, period: Duration, rng: &mut impl Rng) -> Self {
    Self {
      order: Vec::new(),
      seq: 0,
      current: None,
      next: now + period.mul_f64(rng.random()),
      indirect_probes: HashMap::new(),
    }
  }

  fn next_seq(&mut self) -> u32 {
    // Zero is for probes whose answer is not tracked.
    self.seq = self.seq.checked_add(1).unwrap_or(1);
    self.seq
  }

  /// Adds a new member to the current round: with 1,200 members the next round is up to twenty
  /// minutes away.
  pub fn add(&mut self, node: NodeId, rng: &mut impl Rng) {
    if !self.order.contains(&node) {
      let index = rng.random_range(0..=self.order.len());
      self.order.insert(index, node);
    }
  }

  /// Starts a probe of the next live member other than `own`; each is probed once in a round, in
  /// random order. `live` is sorted.
  pub fn start(
    &mut self,
    live: &[NodeId],
    own: NodeId,
    now: Instant,
    rng: &mut impl Rng,
  ) -> Option<(NodeId, u32)> {
    self.current = None;
    if self.order.is_empty() {
      self.order.extend(live.iter().filter(|node| **node != own));
      self.order.shuffle(rng);
    }
    while let Some(target) = self.order.pop() {
      if live.binary_search(&target).is_err() {
        continue;
      }
      let seq = self.next_seq();
      self.current = Some(Probe {
        target,
        seq,
        sent: now,
        repeats: 0,
      });
      return Some((target, seq));
    }
    None
  }

  /// Registers an indirect probe, for which `requester` uses the sequence number `seq`; returns the
  /// sequence number to send.
  pub fn start_indirect(&mut self, requester: NodeId, seq: u32, now: Instant) -> u32 {
    self
      .indirect_probes
      .retain(|_, (_, _, since)| now.saturating_duration_since(*since) < INDIRECT_TIMEOUT);
    let own_seq = self.next_seq();
    self.indirect_probes.insert(own_seq, (requester, seq, now));
    own_seq
  }

  /// Handles an answer; for an indirect probe, returns the requester and its sequence number.
  pub fn on_ack(&mut self, seq: u32) -> Option<(NodeId, u32)> {
    if self.current.as_ref().is_some_and(|probe| probe.seq == seq) {
      self.current = None;
      return None;
    }
    let (requester, seq, _) = self.indirect_probes.remove(&seq)?;
    Some((requester, seq))
  }
}
