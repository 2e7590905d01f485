use {
  super::{CallEnd, Candidate, Completed, Peer, Table},
  cactusyoke_model::NodeId,
  rand::Rng,
  std::time::{Duration, Instant},
};

/// Time over which a new or returned instance takes up its share.
const SLOW_START: Duration = Duration::from_secs(5);
/// Share of its slots that such an instance begins with.
const FIRST_SHARE: f64 = 0.1;
/// Random draws before the candidates are gone through in order.
const DRAWS: usize = 8;
/// Smoothing of the service's latency.
const LATENCY_WEIGHT: f64 = 0.01;

/// Choice of an instance among those of one service.
#[derive(Debug, Default)]
pub struct Router {
  peers: Table<NodeId, Peer>,
  /// Smoothed latency of the service, seconds.
  latency: Option<f64>,
}

impl Router {
  /// Without knowledge of any instance.
  pub fn new() -> Self {
    Self::default()
  }

  /// Picks the less loaded of two random candidates. `None` when each one is to be avoided.
  pub fn pick(
    &self,
    candidates: &[Candidate],
    avoid: &[NodeId],
    rng: &mut impl Rng,
    now: Instant,
  ) -> Option<NodeId> {
    let most = candidates.iter().map(|candidate| candidate.slots).max()?.0;
    let usable = |candidate: &Candidate| {
      !avoid.contains(&candidate.node) && !self.is_ejected(candidate, candidates, now)
    };
    let mut draw = |other: Option<NodeId>| {
      for _ in 0..DRAWS {
        let candidate = &candidates[rng.random_range(0..candidates.len())];
        // Drawing in proportion to slots lets a large instance take more than two draws' share.
        let drawn = candidate.slots.0 >= most || rng.random_range(0..most) < candidate.slots.0;
        if drawn && Some(candidate.node) != other && usable(candidate) {
          return Some(candidate);
        }
      }
      let first = rng.random_range(0..candidates.len());
      let (before, after) = candidates.split_at(first);
      after
        .iter()
        .chain(before)
        .find(|candidate| Some(candidate.node) != other && usable(candidate))
    };
    let Some(one) = draw(None) else {
      // An ejected instance is better than none.
      return candidates
        .iter()
        .map(|candidate| candidate.node)
        .find(|node| !avoid.contains(node));
    };
    let Some(two) = draw(Some(one.node)) else {
      return Some(one.node);
    };
    let better = if self.score(two, now) < self.score(one, now) {
      two
    } else {
      one
    };
    Some(better.node)
  }

  /// Counts a call sent to an instance.
  pub fn sent(&mut self, node: NodeId, now: Instant) {
    self
      .peers
      .entry(node)
      .or_insert_with(|| Peer::new(now))
      .sent();
  }

  /// Records the end of a call. An instance that was forgotten meanwhile stays so.
  pub fn done(&mut self, node: NodeId, done: Completed, now: Instant) {
    let Some(peer) = self.peers.get_mut(&node) else {
      return;
    };
    peer.done(done, now);
    if done.outcome == CallEnd::Answered {
      let seconds = done.latency.as_secs_f64();
      self.latency = Some(
        self
          .latency
          .map_or(seconds, |old| old + (seconds - old) * LATENCY_WEIGHT),
      );
    }
  }

  /// Forgets an instance that is gone.
  pub fn forget(&mut self, node: NodeId) {
    self.peers.remove(&node);
  }

  /// True when the instance is ejected. Of the candidates at most half can be, those that were
  /// ejected first.
  fn is_ejected(&self, candidate: &Candidate, candidates: &[Candidate], now: Instant) -> bool {
    let since = |node: NodeId| Some((self.peers.get(&node)?.ejected(now)?, node));
    let Some(own) = since(candidate.node) else {
      return false;
    };
    let earlier = candidates
      .iter()
      .filter(|other| since(other.node).is_some_and(|since| since < own))
      .count();
    earlier < candidates.len() / 2
  }

  /// Expected relative wait; less is better.
  fn score(&self, candidate: &Candidate, now: Instant) -> f64 {
    let Some(peer) = self.peers.get(&candidate.node) else {
      return 1.0 / weight(candidate, candidate.since, now);
    };
    let since = peer
      .returned()
      .map_or(candidate.since, |until| until.max(candidate.since));
    let slowness = self.latency.map_or(1.0, |mean| peer.slowness(mean, now));
    (peer.load(now) + 1.0) * slowness / weight(candidate, since, now)
  }
}

/// Slots that an instance offers, fewer in its slow start.
fn weight(candidate: &Candidate, since: Instant, now: Instant) -> f64 {
  let age = now.saturating_duration_since(since).as_secs_f64();
  let share = (age / SLOW_START.as_secs_f64()).clamp(FIRST_SHARE, 1.0);
  f64::from(candidate.slots.0.max(1)) * share
}
