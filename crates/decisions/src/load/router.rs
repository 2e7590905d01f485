use {
  super::{CallOutcome, CallSample, Candidate, Criteria, Peer, Table},
  cactusyoke_model::{NodeId, RouteName},
  rand::Rng,
  std::time::{Duration, Instant},
};

/// Time over which a new or returned instance takes up its share.
const SLOW_START: Duration = Duration::from_secs(5);
/// Share of its slots that such an instance begins with.
const FIRST_SHARE: f64 = 0.1;
/// Random draws before the candidates are gone through in order.
const DRAWS: usize = 8;
/// Smoothing of the mean time of a route.
const MEAN_WEIGHT: f64 = 0.01;
/// Routes whose mean time is kept.
const MAX_ROUTES: usize = 1024;
/// Share of a call's target that it may wait at an instance of its own data centre before one of
/// another is considered.
const STAY_WAIT: f64 = 0.1;
/// Share of the target that wait and work together may take there.
const STAY_TIME: f64 = 0.5;
/// Share of the target by which another data centre must be faster, since bytes between data
/// centres cost money.
const FAR_MARGIN: f64 = 0.05;
/// Part of the slots in use above which an instance is crowded: it is about to shed new requests.
const CROWDED: f64 = 0.85;
/// Part of the difference in use by which calls leave a crowded instance, so that the others fill
/// up gradually.
const LEAVING: f64 = 0.5;
/// Multiple of the usual time that a call of a request that has been worked on may take in its data
/// centre: such calls follow each other, and together they use up the time of their request.
const INNER_STAY: f64 = 1.75;

/// Choice of an instance among those of one service.
///
/// Calls stay in their data centre while an instance there meets their target, and go to another
/// one on measured wait and speed.
#[derive(Debug, Default)]
pub struct Router {
  peers: Table<NodeId, Peer>,
  /// Mean time of each route.
  means: Table<Option<RouteName>, Mean>,
}

/// Mean of the first values, later smoothed, so that the first one alone, such as that of a cold
/// upstream, does not count for long.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
  /// Seconds.
  value: f64,
  count: u32,
}

impl Mean {
  fn add(&mut self, seconds: f64) {
    self.count = self.count.saturating_add(1);
    let weight = (1.0 / f64::from(self.count)).max(MEAN_WEIGHT);
    self.value += (seconds - self.value) * weight;
  }
}

impl Router {
  /// Without knowledge of any instance.
  pub fn new() -> Self {
    Self::default()
  }

  /// Picks an instance; `candidates` are in the order of their distance. `None` when each one is to be
  /// avoided.
  pub fn pick(
    &self,
    candidates: &[Candidate],
    criteria: &Criteria<'_>,
    rng: &mut impl Rng,
    now: Instant,
  ) -> Option<NodeId> {
    let split = candidates.partition_point(|candidate| candidate.distance.is_zero());
    let (near, far) = candidates.split_at(split);
    let near = self.pick_among(near, criteria.avoid, rng, now);
    let comfortable = near.is_some_and(|near| self.is_comfortable(near, criteria, now));
    let crowded = near.is_some_and(|near| self.used(near, now) > CROWDED);
    if comfortable && !crowded {
      return near.map(|near| near.node);
    }
    let far = self.pick_far(far, criteria.avoid, rng, now);
    let picked = match (near, far) {
      (Some(near), Some(far)) if comfortable => {
        let room = self.used(near, now) - self.used(far, now);
        if rng.random::<f64>() < room * LEAVING {
          Some(far)
        } else {
          Some(near)
        }
      }
      (Some(near), Some(far)) => {
        let margin = self.margin(criteria);
        if self.time(far, criteria, now) + margin < self.time(near, criteria, now) {
          Some(far)
        } else {
          Some(near)
        }
      }
      (near, far) => near.or(far),
    };
    // An ejected instance is better than none.
    picked
      .map(|candidate| candidate.node)
      .or_else(|| last_resort(candidates, criteria.avoid))
  }

  /// One of the nearest of the other data centres that have a usable instance; `candidates` are in
  /// the order of their distance.
  fn pick_far<'a>(
    &self,
    candidates: &'a [Candidate],
    avoid: &[NodeId],
    rng: &mut impl Rng,
    now: Instant,
  ) -> Option<&'a Candidate> {
    candidates
      .chunk_by(|one, other| one.distance == other.distance)
      .find_map(|tier| self.pick_among(tier, avoid, rng, now))
  }

  /// The less loaded of two random candidates.
  fn pick_among<'a>(
    &self,
    candidates: &'a [Candidate],
    avoid: &[NodeId],
    rng: &mut impl Rng,
    now: Instant,
  ) -> Option<&'a Candidate> {
    let most = candidates.iter().map(|candidate| candidate.slots).max()?.0;
    let usable = |candidate: &Candidate| {
      !avoid.contains(&candidate.node)
        && !self.is_away(candidate, now)
        && !self.is_ejected(candidate, candidates, now)
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
    let one = draw(None)?;
    let Some(two) = draw(Some(one.node)) else {
      return Some(one);
    };
    if self.score(two, now) < self.score(one, now) {
      Some(two)
    } else {
      Some(one)
    }
  }

  /// Counts a call sent to an instance.
  pub fn record_sent(&mut self, node: NodeId, now: Instant) {
    self
      .peers
      .entry(node)
      .or_insert_with(|| Peer::new(now))
      .sent();
  }

  /// Records the end of a call. An instance that was forgotten meanwhile stays so.
  pub fn record_outcome(&mut self, node: NodeId, done: &CallSample, now: Instant) {
    let mean = self.usual(done.route.as_ref());
    let Some(peer) = self.peers.get_mut(&node) else {
      return;
    };
    peer.done(done, mean, now);
    if done.outcome != CallOutcome::Answered {
      return;
    }
    let seconds = done.latency.saturating_sub(done.waited).as_secs_f64();
    if let Some(mean) = self.means.get_mut(&done.route) {
      mean.add(seconds);
    } else if self.means.len() < MAX_ROUTES {
      let mut mean = Mean::default();
      mean.add(seconds);
      self.means.insert(done.route.clone(), mean);
    }
  }

  /// Records that a call was given up by its caller, which says nothing about the instance.
  pub fn record_cancelled(&mut self, node: NodeId) {
    if let Some(peer) = self.peers.get_mut(&node) {
      peer.cancelled();
    }
  }

  /// Forgets an instance that is gone.
  pub fn forget(&mut self, node: NodeId) {
    self.peers.remove(&node);
  }

  /// Mean time of a route without waits, seconds; `None` while it is not known.
  fn usual(&self, route: Option<&RouteName>) -> Option<f64> {
    self.means.get(&route.cloned()).map(|mean| mean.value)
  }

  /// Mean time of a route without waits; zero while it is not known.
  pub fn mean_time(&self, route: &RouteName) -> Duration {
    Duration::from_secs_f64(self.usual(Some(route)).unwrap_or_default())
  }

  fn is_away(&self, candidate: &Candidate, now: Instant) -> bool {
    let peer = self.peers.get(&candidate.node);
    peer.is_some_and(|peer| peer.is_away(now))
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

  /// True when an instance of the own data centre meets the target, so that no other is looked at.
  fn is_comfortable(&self, candidate: &Candidate, criteria: &Criteria<'_>, now: Instant) -> bool {
    let target = criteria.target.as_secs_f64();
    let time = self.time(candidate, criteria, now);
    let usual = self.usual(criteria.route);
    if criteria.nested && usual.is_some_and(|usual| time > usual * INNER_STAY) {
      return false;
    }
    let wait = self.wait(candidate, criteria, now);
    wait <= target * STAY_WAIT && time <= target * STAY_TIME
  }

  /// Time by which another data centre must be faster, seconds.
  fn margin(&self, criteria: &Criteria<'_>) -> f64 {
    let margin = criteria.target.as_secs_f64() * FAR_MARGIN;
    let usual = self.usual(criteria.route);
    match usual.filter(|_usual| criteria.nested) {
      Some(usual) => margin.min(usual * (INNER_STAY - 1.0)),
      None => margin,
    }
  }

  /// Expected wait in the queue of the instance, seconds.
  fn wait(&self, candidate: &Candidate, criteria: &Criteria<'_>, now: Instant) -> f64 {
    let peer = self.peers.get(&candidate.node);
    peer.map_or(0.0, |peer| peer.wait(criteria.nested, now).as_secs_f64())
  }

  /// Part of the slots of the instance in use.
  fn used(&self, candidate: &Candidate, now: Instant) -> f64 {
    let peer = self.peers.get(&candidate.node);
    peer.map_or(0.0, |peer| peer.used(now))
  }

  /// Expected time to the answer, seconds.
  fn time(&self, candidate: &Candidate, criteria: &Criteria<'_>, now: Instant) -> f64 {
    let mean = self.usual(criteria.route);
    let peer = self.peers.get(&candidate.node);
    let slowness = peer.map_or(1.0, |peer| peer.slowness(now));
    let network = candidate.distance.as_secs_f64() * 2.0;
    self.wait(candidate, criteria, now) + mean.unwrap_or(0.0) * slowness + network
  }

  /// Expected relative wait; less is better.
  fn score(&self, candidate: &Candidate, now: Instant) -> f64 {
    let Some(peer) = self.peers.get(&candidate.node) else {
      return 1.0 / weight(candidate, candidate.since, now);
    };
    let since = peer
      .returned()
      .map_or(candidate.since, |until| until.max(candidate.since));
    (peer.load(now) + 1.0) * peer.slowness(now) / weight(candidate, since, now)
  }
}

/// Any instance that is not to be avoided.
fn last_resort(candidates: &[Candidate], avoid: &[NodeId]) -> Option<NodeId> {
  candidates
    .iter()
    .map(|candidate| candidate.node)
    .find(|node| !avoid.contains(node))
}

/// Slots that an instance offers, fewer in its slow start.
fn weight(candidate: &Candidate, since: Instant, now: Instant) -> f64 {
  let age = now.saturating_duration_since(since).as_secs_f64();
  let share = (age / SLOW_START.as_secs_f64()).clamp(FIRST_SHARE, 1.0);
  f64::from(candidate.slots.0.max(1)) * share
}
