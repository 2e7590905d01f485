use {
  super::{CallOutcome, CallSample, Candidate, Criteria, DeterministicMap, InstanceStats},
  cactusyoke_model::{NodeId, RouteName},
  rand::Rng,
  std::time::{Duration, Instant},
};

/// Time over which a new instance, or one back from an ejection, ramps up to its full share.
const SLOW_START: Duration = Duration::from_secs(5);
/// Share of its slots that such an instance starts with.
const SLOW_START_SHARE: f64 = 0.1;
/// Random draws before the candidates are searched in order.
const MAX_DRAWS: usize = 8;
/// Smoothing of the mean latency of a route.
const MEAN_WEIGHT: f64 = 0.01;
/// Maximum number of routes with a mean latency.
const MAX_ROUTES: usize = 1024;
/// Share of the latency target that a call may wait at a local instance before a remote one is
/// considered. Local means in the sender's data centre.
const LOCAL_WAIT_SHARE: f64 = 0.1;
/// Share of the target that the expected time to the answer of a local instance may take.
const LOCAL_TIME_SHARE: f64 = 0.5;
/// Share of the target by which a remote instance must be faster, since traffic between data
/// centres costs money.
const REMOTE_MARGIN_SHARE: f64 = 0.05;
/// Share of the slots in use above which an instance is crowded and about to shed root requests.
const CROWDED_UTILISATION: f64 = 0.85;
/// Probability of leaving a crowded local instance, per difference in utilisation to the remote
/// one. Below 1, so that the remote instance fills up gradually.
const LEAVE_FACTOR: f64 = 0.75;
/// Multiple of the mean latency that a nested call may take at a local instance. Nested calls run
/// in sequence and together use up the time of their request.
const NESTED_TIME_FACTOR: f64 = 1.75;

/// Load balancer among the instances of one service.
///
/// Calls stay in their data centre while an instance there meets their target. Otherwise they go
/// wherever the measured wait and latency are lowest, with a margin in favour of their own data
/// centre.
#[derive(Debug, Default)]
pub struct Router {
  instances: DeterministicMap<NodeId, InstanceStats>,
  /// Mean latency of each route, without waits in queues.
  means: DeterministicMap<Option<RouteName>, RunningMean>,
}

/// Running mean of the first values, then exponentially smoothed, so that a single first value,
/// such as from a cold upstream, does not dominate for long.
#[derive(Clone, Copy, Debug, Default)]
struct RunningMean {
  /// Seconds.
  value: f64,
  count: u32,
}

impl RunningMean {
  fn add(&mut self, seconds: f64) {
    self.count = self.count.saturating_add(1);
    let weight = (1.0 / f64::from(self.count)).max(MEAN_WEIGHT);
    self.value += (seconds - self.value) * weight;
  }
}

impl Router {
  /// Router that knows no instance yet.
  pub fn new() -> Self {
    Self::default()
  }

  /// Picks an instance; `candidates` are ordered by distance. `None` when each one is to be
  /// avoided.
  pub fn pick(
    &self,
    candidates: &[Candidate],
    criteria: &Criteria<'_>,
    rng: &mut impl Rng,
    now: Instant,
  ) -> Option<NodeId> {
    let split = candidates.partition_point(|candidate| candidate.distance.is_zero());
    let (local, remote) = candidates.split_at(split);
    let local = self.pick_among(local, criteria.avoid, rng, now);
    let meets_target = local.is_some_and(|local| self.meets_target(local, criteria, now));
    let crowded = local.is_some_and(|local| self.utilisation(local, now) > CROWDED_UTILISATION);
    if meets_target && !crowded {
      return local.map(|local| local.node);
    }
    let remote = self.pick_remote(remote, criteria.avoid, rng, now);
    let picked = match (local, remote) {
      (Some(local), Some(remote)) if meets_target => {
        let excess = self.utilisation(local, now) - self.utilisation(remote, now);
        if rng.random::<f64>() < excess * LEAVE_FACTOR {
          Some(remote)
        } else {
          Some(local)
        }
      }
      (Some(local), Some(remote)) => {
        let remote_margin = self.remote_margin(criteria);
        if self.expected_time(remote, criteria, now) + remote_margin
          < self.expected_time(local, criteria, now)
        {
          Some(remote)
        } else {
          Some(local)
        }
      }
      (local, remote) => local.or(remote),
    };
    // An ejected or unreachable instance is better than none.
    picked
      .map(|candidate| candidate.node)
      .or_else(|| last_resort(candidates, criteria.avoid))
  }

  /// True when a call to `node` may be handed back, since another candidate in the same data centre
  /// may have room for it.
  pub fn has_alternative(
    &self,
    candidates: &[Candidate],
    node: NodeId,
    avoid: &[NodeId],
    now: Instant,
  ) -> bool {
    let Some(chosen) = candidates.iter().find(|candidate| candidate.node == node) else {
      return false;
    };
    let known_full = |candidate: &Candidate| {
      let stats = self.instances.get(&candidate.node);
      stats.is_some_and(|stats| stats.is_full(now))
    };
    candidates.iter().any(|candidate| {
      candidate.node != node
        && candidate.distance == chosen.distance
        && !avoid.contains(&candidate.node)
        && !known_full(candidate)
        && !self.is_unreachable(candidate, now)
        && !self.is_ejected(candidate, candidates, now)
    })
  }

  /// Instance in the nearest other data centre with a usable one; `candidates` are ordered by
  /// distance.
  fn pick_remote<'a>(
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

  /// The less loaded of two random candidates ("power of two choices").
  fn pick_among<'a>(
    &self,
    candidates: &'a [Candidate],
    avoid: &[NodeId],
    rng: &mut impl Rng,
    now: Instant,
  ) -> Option<&'a Candidate> {
    let max_slots = candidates.iter().map(|candidate| candidate.slots).max()?.0;
    let usable = |candidate: &Candidate| {
      !avoid.contains(&candidate.node)
        && !self.is_unreachable(candidate, now)
        && !self.is_ejected(candidate, candidates, now)
    };
    let mut draw = |other: Option<NodeId>| {
      for _ in 0..MAX_DRAWS {
        let candidate = &candidates[rng.random_range(0..candidates.len())];
        // Draws in proportion to the slots, since with two uniform draws out of n a large instance
        // could get at most 2/n of the calls.
        let drawn =
          candidate.slots.0 >= max_slots || rng.random_range(0..max_slots) < candidate.slots.0;
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

  /// Records a call sent to an instance.
  pub fn record_sent(&mut self, node: NodeId, now: Instant) {
    self
      .instances
      .entry(node)
      .or_insert_with(|| InstanceStats::new(now))
      .record_sent();
  }

  /// Records the end of a call. Ignored for an instance that was forgotten in the meantime.
  pub fn record_outcome(&mut self, node: NodeId, sample: &CallSample, now: Instant) {
    let mean = self.mean_seconds(sample.route.as_ref());
    let Some(stats) = self.instances.get_mut(&node) else {
      return;
    };
    stats.record_outcome(sample, mean, now);
    if sample.outcome != CallOutcome::Answered {
      return;
    }
    let seconds = sample.latency.saturating_sub(sample.waited).as_secs_f64();
    if let Some(mean) = self.means.get_mut(&sample.route) {
      mean.add(seconds);
    } else if self.means.len() < MAX_ROUTES {
      let mut mean = RunningMean::default();
      mean.add(seconds);
      self.means.insert(sample.route.clone(), mean);
    }
  }

  /// Records that the caller cancelled a call, which says nothing about the instance.
  pub fn record_cancelled(&mut self, node: NodeId) {
    if let Some(stats) = self.instances.get_mut(&node) {
      stats.record_cancelled();
    }
  }

  /// Forgets an instance that left.
  pub fn forget(&mut self, node: NodeId) {
    self.instances.remove(&node);
  }

  /// Mean latency of a route without waits, seconds; `None` while unknown.
  fn mean_seconds(&self, route: Option<&RouteName>) -> Option<f64> {
    self.means.get(&route.cloned()).map(|mean| mean.value)
  }

  /// Mean latency of a route without waits; zero while unknown.
  pub fn mean_time(&self, route: &RouteName) -> Duration {
    Duration::from_secs_f64(self.mean_seconds(Some(route)).unwrap_or_default())
  }

  fn is_unreachable(&self, candidate: &Candidate, now: Instant) -> bool {
    let stats = self.instances.get(&candidate.node);
    stats.is_some_and(|stats| stats.is_unreachable(now))
  }

  /// True when the instance counts as ejected. At most half of the candidates do, those ejected
  /// first.
  fn is_ejected(&self, candidate: &Candidate, candidates: &[Candidate], now: Instant) -> bool {
    let ejection = |node: NodeId| Some((self.instances.get(&node)?.ejected(now)?, node));
    let Some(own) = ejection(candidate.node) else {
      return false;
    };
    let earlier = candidates
      .iter()
      .filter(|other| ejection(other.node).is_some_and(|ejection| ejection < own))
      .count();
    earlier < candidates.len() / 2
  }

  /// True when a local instance meets the target, so that no remote one needs to be considered.
  fn meets_target(&self, candidate: &Candidate, criteria: &Criteria<'_>, now: Instant) -> bool {
    let target = criteria.target.as_secs_f64();
    let time = self.expected_time(candidate, criteria, now);
    let mean_seconds = self.mean_seconds(criteria.route);
    if criteria.nested
      && mean_seconds.is_some_and(|mean_seconds| time > mean_seconds * NESTED_TIME_FACTOR)
    {
      return false;
    }
    let wait = self.expected_wait(candidate, criteria, now);
    wait <= target * LOCAL_WAIT_SHARE && time <= target * LOCAL_TIME_SHARE
  }

  /// Time by which a remote instance must be faster, seconds.
  fn remote_margin(&self, criteria: &Criteria<'_>) -> f64 {
    let remote_margin = criteria.target.as_secs_f64() * REMOTE_MARGIN_SHARE;
    let mean_seconds = self.mean_seconds(criteria.route);
    match mean_seconds.filter(|_mean| criteria.nested) {
      Some(mean_seconds) => remote_margin.min(mean_seconds * (NESTED_TIME_FACTOR - 1.0)),
      None => remote_margin,
    }
  }

  /// Expected wait in the queue of the instance, seconds.
  fn expected_wait(&self, candidate: &Candidate, criteria: &Criteria<'_>, now: Instant) -> f64 {
    let stats = self.instances.get(&candidate.node);
    stats.map_or(0.0, |stats| stats.wait(criteria.nested, now).as_secs_f64())
  }

  /// Share of the slots of the instance in use.
  fn utilisation(&self, candidate: &Candidate, now: Instant) -> f64 {
    let stats = self.instances.get(&candidate.node);
    stats.map_or(0.0, |stats| stats.utilisation(now))
  }

  /// Expected time to the answer, seconds.
  fn expected_time(&self, candidate: &Candidate, criteria: &Criteria<'_>, now: Instant) -> f64 {
    let mean = self.mean_seconds(criteria.route);
    let stats = self.instances.get(&candidate.node);
    let slowness = stats.map_or(1.0, |stats| stats.slowness(now));
    let network = candidate.distance.as_secs_f64() * 2.0;
    self.expected_wait(candidate, criteria, now) + mean.unwrap_or(0.0) * slowness + network
  }

  /// Load per slot, scaled by relative latency; lower is better.
  fn score(&self, candidate: &Candidate, now: Instant) -> f64 {
    let Some(stats) = self.instances.get(&candidate.node) else {
      return 1.0 / weight(candidate, candidate.since, now);
    };
    let since = stats
      .ejection_end()
      .map_or(candidate.since, |until| until.max(candidate.since));
    (stats.load(now) + 1.0) * stats.slowness(now) / weight(candidate, since, now)
  }
}

/// First instance that is not to be avoided.
fn last_resort(candidates: &[Candidate], avoid: &[NodeId]) -> Option<NodeId> {
  candidates
    .iter()
    .map(|candidate| candidate.node)
    .find(|node| !avoid.contains(node))
}

/// Slots of an instance, scaled down during a slow start that began at `since`.
fn weight(candidate: &Candidate, since: Instant, now: Instant) -> f64 {
  let age = now.saturating_duration_since(since).as_secs_f64();
  let share = (age / SLOW_START.as_secs_f64()).clamp(SLOW_START_SHARE, 1.0);
  f64::from(candidate.slots.0.max(1)) * share
}
