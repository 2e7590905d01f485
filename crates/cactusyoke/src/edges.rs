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

struct Inner {
  levels: Levels,
  routers: HashMap<ServiceName, Router>,
  ratios: HashMap<RouteName, RetryRatio>,
}

/// Levels and retry ratios by route, loads by instance.
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
  pub(crate) fn new(now: Instant) -> Self {
    let levels = Levels::new(now);
    let inner = Inner {
      levels,
      routers: HashMap::new(),
      ratios: HashMap::new(),
    };
    Self {
      inner: Mutex::new(inner),
    }
  }

  /// True when a request that enters here is to be sent.
  ///
  /// Calls within a tree are left to the gate: checking the level again at inner hops throws away
  /// the work above.
  pub(crate) fn admits(&self, edge: Edge<'_>, now: Instant) -> bool {
    self.lock().levels.admits(edge.route, edge.priority, now)
  }

  /// Chooses an instance that is not in `avoid`.
  pub(crate) fn pick(
    &self,
    edge: Edge<'_>,
    candidates: &[Candidate],
    avoid: &[NodeId],
    now: Instant,
  ) -> Option<NodeId> {
    let mut inner = self.lock();
    let router = inner.routers.entry(edge.service.clone()).or_default();
    let node = router.pick(candidates, avoid, &mut rand::rng(), now)?;
    router.sent(node, now);
    Some(node)
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
      inner
        .levels
        .observe(edge.route, report.level, report.age, now);
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

  /// Level in force for a route.
  pub(crate) fn level(&self, route: &RouteName, now: Instant) -> Level {
    self.lock().levels.level(route, now)
  }

  /// Forgets an instance that is no longer a member.
  pub(crate) fn forget(&self, node: NodeId) {
    for router in self.lock().routers.values_mut() {
      router.forget(node);
    }
  }

  /// Drops the ratios, after another preset came into force.
  pub(crate) fn reset_ratios(&self) {
    self.lock().ratios.clear();
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
