use {
  cactusyoke_model::NodeId,
  rand::{Rng, seq::SliceRandom},
  std::{
    collections::HashMap,
    time::{Duration, Instant},
  },
};

/// Time for which the answer to a probe on behalf of another node is passed on.
const RELAYED: Duration = Duration::from_secs(2);

/// Probe in flight.
#[derive(Clone, Debug)]
pub struct Probe {
  /// Probed node.
  pub target: NodeId,
  /// Number of the probe.
  pub seq: u32,
  /// Time at which it was sent.
  pub sent: Instant,
  /// Times it was repeated.
  pub repeated: u32,
}

/// Order of the probes, the one in flight, and those made for others.
#[derive(Clone, Debug)]
pub struct Prober {
  order: Vec<NodeId>,
  seq: u32,
  /// Probe in flight.
  pub current: Option<Probe>,
  /// Time of the next probe.
  pub next: Instant,
  relays: HashMap<u32, (NodeId, u32, Instant)>,
}

impl Prober {
  /// Prober that starts within one period, so that nodes that start together do not probe
  /// together.
  pub fn new(now: Instant, period: Duration, rng: &mut impl Rng) -> Self {
    Self {
      order: Vec::new(),
      seq: 0,
      current: None,
      next: now + period.mul_f64(rng.random()),
      relays: HashMap::new(),
    }
  }

  fn next_seq(&mut self) -> u32 {
    // Zero stands for a probe whose answer is not awaited.
    self.seq = self.seq.checked_add(1).unwrap_or(1);
    self.seq
  }

  /// Adds a member that came up to the present round: at 1,200 members the next one is up to twenty
  /// minutes away.
  pub fn add(&mut self, node: NodeId, rng: &mut impl Rng) {
    if !self.order.contains(&node) {
      let place = rng.random_range(0..=self.order.len());
      self.order.insert(place, node);
    }
  }

  /// Starts a probe of the next of `live` but `own`: each once in a round, in random order.
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
        repeated: 0,
      });
      return Some((target, seq));
    }
    None
  }

  /// Number for a probe made for `origin`, whose own number is `seq`.
  pub fn relay(&mut self, origin: NodeId, seq: u32, now: Instant) -> u32 {
    self
      .relays
      .retain(|_, (_, _, since)| now.saturating_duration_since(*since) < RELAYED);
    let own = self.next_seq();
    self.relays.insert(own, (origin, seq, now));
    own
  }

  /// Takes an answer; returns where to pass it on.
  pub fn on_ack(&mut self, seq: u32) -> Option<(NodeId, u32)> {
    if self.current.as_ref().is_some_and(|probe| probe.seq == seq) {
      self.current = None;
      return None;
    }
    let (origin, seq, _) = self.relays.remove(&seq)?;
    Some((origin, seq))
  }
}
