//! What a sending node knows of the instances that it sends to.

use {
  cactusyoke_decisions::load::{CallEnd, Candidate, Completed, Levels, RetryRatio, Router},
  cactusyoke_model::{
    CallFailure, Level, NodeId, NotRunReason, Priority, Report, RouteName, ServiceName,
  },
  std::{
    collections::HashMap,
    fmt,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
  },
};

#[derive(Default)]
struct Inner {
  levels: HashMap<NodeId, Levels>,
  routers: HashMap<ServiceName, Router>,
  ratios: HashMap<RouteName, RetryRatio>,
  /// Last probe of each route.
  probes: HashMap<RouteName, Instant>,
}

impl Inner {
  /// Instances that are known to shed the call.
  fn shedding(&self, edge: Edge<'_>, nodes: &[NodeId], now: Instant) -> Vec<NodeId> {
    let sheds = |node: &&NodeId| {
      let level = self
        .levels
        .get(node)
        .map(|levels| levels.level(edge.route, now));
      level.is_some_and(|level| !level.admits(edge.priority))
    };
    nodes.iter().filter(sheds).copied().collect()
  }

  /// Claims the probe of this interval, where no instance has reported lately.
  ///
  /// One probe serves all instances of the route: their levels follow the same load, and probes
  /// that are shed further down waste the work above.
  fn may_probe(&mut self, route: &RouteName, nodes: &[NodeId], now: Instant) -> bool {
    let silent = |node: &NodeId| {
      self
        .levels
        .get(node)
        .is_none_or(|levels| levels.silent(route, now))
    };
    if !nodes.iter().all(silent) {
      return false;
    }
    let due = |last: &Instant| now.saturating_duration_since(*last) >= Levels::PROBE_INTERVAL;
    if !self.probes.get(route).is_none_or(due) {
      return false;
    }
    self.probes.insert(route.clone(), now);
    true
  }
}

/// Levels, loads and retry ratios by instance, service and route.
///
/// Levels are kept for each instance: one that has just started sheds more than the others, and
/// a call is shed at the sender only when no instance would admit it.
#[derive(Default)]
pub(crate) struct Edges {
  inner: Mutex<Inner>,
}

impl fmt::Debug for Edges {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.debug_struct("Edges").finish_non_exhaustive()
  }
}

/// One call on one edge.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Edge<'a> {
  pub(crate) service: &'a ServiceName,
  pub(crate) route: &'a RouteName,
  pub(crate) priority: Priority,
}

impl Edges {
  /// Chooses an instance that is known to admit the call and is not in `avoid`.
  pub(crate) fn pick(
    &self,
    edge: Edge<'_>,
    candidates: &[Candidate],
    avoid: &[NodeId],
    now: Instant,
  ) -> Result<NodeId, NotRunReason> {
    if candidates.is_empty() {
      return Err(NotRunReason::NoUpstream);
    }
    let mut inner = self.lock();
    let untried = candidates
      .iter()
      .map(|candidate| candidate.node)
      .filter(|node| !avoid.contains(node));
    let untried = untried.collect::<Vec<NodeId>>();
    if untried.is_empty() {
      return Err(NotRunReason::NoUpstream);
    }
    let shed = inner.shedding(edge, &untried, now);
    // A probe goes to any instance, so that a fresh report comes back.
    let probe = shed.len() == untried.len();
    if probe && !inner.may_probe(edge.route, &untried, now) {
      return Err(NotRunReason::Shed);
    }
    let mut excluded = avoid.to_vec();
    if !probe {
      excluded.extend(shed);
    }
    let router = inner.routers.entry(edge.service.clone()).or_default();
    let node = router
      .pick(candidates, &excluded, &mut rand::rng(), now)
      .ok_or(NotRunReason::NoUpstream)?;
    router.sent(node, now);
    Ok(node)
  }

  /// Records how a call to `node` ended.
  pub(crate) fn done(
    &self,
    edge: Edge<'_>,
    node: NodeId,
    end: CallEnd,
    report: Option<Report>,
    latency: Duration,
    now: Instant,
  ) {
    let mut inner = self.lock();
    if let Some(report) = report {
      let levels = inner.levels.entry(node).or_insert_with(|| Levels::new(now));
      levels.observe(edge.route, report.level, report.age, now);
    }
    if let Some(router) = inner.routers.get_mut(edge.service) {
      let load = report.map(|report| report.load);
      router.done(
        node,
        Completed {
          outcome: end,
          latency,
          load,
        },
        now,
      );
    }
  }

  /// Counts a call on the edge, for the ratio of retries.
  pub(crate) fn count_call(&self, route: &RouteName, percent: u8, now: Instant) {
    let mut inner = self.lock();
    if let Some(ratio) = inner.ratios.get_mut(route) {
      ratio.on_call(now);
      return;
    }
    let mut ratio = RetryRatio::new(percent, now);
    ratio.on_call(now);
    inner.ratios.insert(route.clone(), ratio);
  }

  /// Takes one retry from the ratio of the edge; false when it is used up.
  pub(crate) fn try_retry(&self, route: &RouteName, now: Instant) -> bool {
    self
      .lock()
      .ratios
      .get_mut(route)
      .is_some_and(|ratio| ratio.try_retry(now))
  }

  /// Most permissive level among `nodes`.
  pub(crate) fn level(&self, route: &RouteName, nodes: &[Candidate], now: Instant) -> Level {
    let inner = self.lock();
    nodes
      .iter()
      .map(|node| {
        inner
          .levels
          .get(&node.node)
          .map_or(Level::ALL, |l| l.level(route, now))
      })
      .max()
      .unwrap_or(Level::ALL)
  }

  /// Forgets instances that are no longer members.
  pub(crate) fn retain(&self, known: impl Fn(&NodeId) -> bool) {
    let mut inner = self.lock();
    let gone = inner
      .levels
      .keys()
      .filter(|node| !known(node))
      .copied()
      .collect::<Vec<NodeId>>();
    for node in gone {
      inner.levels.remove(&node);
      for router in inner.routers.values_mut() {
        router.forget(node);
      }
    }
  }

  /// Drops the ratios, after another preset came into force.
  pub(crate) fn reset_ratios(&self) {
    let mut inner = self.lock();
    inner.ratios.clear();
    inner.probes.clear();
  }

  fn lock(&self) -> MutexGuard<'_, Inner> {
    self.inner.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

/// How a failure counts for the instance that it came from.
pub(crate) fn call_end(failure: &CallFailure) -> CallEnd {
  match failure {
    CallFailure::NotRun {
      reason: NotRunReason::Connection,
      ..
    }
    | CallFailure::Unknown { .. } => CallEnd::Lost,
    CallFailure::NotRun { .. } => CallEnd::NotRun,
  }
}
