//! Load control of the sending node: admission levels, choice of instances and retry limits.

use {
  cactusyoke_decisions::load::{
    CallOutcome, CallSample, Candidate, Costs, Criteria, Levels, RetryRatio, Router, TenantShares,
    WeightedRoundRobin, retry_delay,
  },
  cactusyoke_model::{
    CallFailure, CallHead, ClassPlace, Level, NodeId, NotRunReason, Priority, Report, RequestId,
    Route, RouteName, ServiceName, SubLevels, Tenant,
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
  round_robins: HashMap<RouteName, WeightedRoundRobin>,
  costs: Costs,
  tenant_shares: TenantShares,
}

/// Levels, costs and retry ratios by route, loads by instance.
pub(crate) struct LoadControl {
  inner: Mutex<Inner>,
}

impl fmt::Debug for LoadControl {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.debug_struct("LoadControl").finish_non_exhaustive()
  }
}

/// Service, route and priority of a call, by which its load is controlled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallKind<'a> {
  pub(crate) service: &'a ServiceName,
  pub(crate) route: &'a RouteName,
  pub(crate) priority: Priority,
}

impl<'a> CallKind<'a> {
  pub(crate) fn of(head: &'a CallHead) -> Self {
    Self {
      service: &head.service,
      route: &head.route,
      priority: head.priority,
    }
  }
}

impl LoadControl {
  /// Load control without any record.
  pub(crate) fn new(now: Instant) -> Self {
    let levels = Levels::new(now);
    let inner = Inner {
      levels,
      routers: HashMap::new(),
      ratios: HashMap::new(),
      round_robins: HashMap::new(),
      costs: Costs::new(),
      tenant_shares: TenantShares::new(),
    };
    Self {
      inner: Mutex::new(inner),
    }
  }

  /// True when the admission level lets a root request be sent.
  ///
  /// Nested calls are left to the gate of the instance: checking the level again for them wastes
  /// the work that was already done for their request.
  pub(crate) fn admits(&self, kind: CallKind<'_>, now: Instant) -> bool {
    self.lock().levels.admits(kind.route, kind.priority, now)
  }

  /// Records that the caller of a call to `node` disconnected.
  pub(crate) fn record_cancelled(&self, service: &ServiceName, node: NodeId) {
    if let Some(router) = self.lock().routers.get_mut(service) {
      router.record_cancelled(node);
    }
  }

  /// Service for the next request of a route, so that each backend gets its weighted share.
  pub(crate) fn backend(&self, route: &Route) -> ServiceName {
    if let [only] = route.backends.as_slice() {
      return only.service.clone();
    }
    let weights = route.backends.iter().map(|backend| backend.weight);
    let weights = weights.collect::<Vec<u32>>();
    let mut inner = self.lock();
    let round_robin = inner.round_robins.entry(route.name.clone()).or_default();
    let index = round_robin.next(&weights).unwrap_or(0);
    route.backends[index].service.clone()
  }

  /// Priority of a root request. The class of its tenant takes precedence over that of its route.
  pub(crate) fn priority(
    &self,
    route: &Route,
    tenant: Option<&Tenant>,
    root: RequestId,
    now: Instant,
  ) -> Priority {
    let class = tenant.and_then(|tenant| tenant.class);
    let ClassPlace { rank, sub_levels } = class.unwrap_or(route.place());
    if sub_levels != SubLevels::ALL {
      // The halves of a shared rank belong to different classes.
      return Priority::within(rank, sub_levels, root);
    }
    let mut inner = self.lock();
    let Some(tenant) = tenant else {
      return inner.costs.priority(&route.name, rank, root, now);
    };
    let share = inner.tenant_shares.record(&tenant.name, now);
    inner
      .costs
      .tenant_priority(&route.name, rank, root, share, now)
  }

  /// Records what a root request cost the most utilised service in its call tree.
  pub(crate) fn record_cost(&self, kind: CallKind<'_>, report: &Report, now: Instant) {
    let rank = kind.priority.rank();
    let mut inner = self.lock();
    inner.costs.record(kind.route, rank, report.bottleneck, now);
  }

  /// Chooses an instance.
  pub(crate) fn pick(
    &self,
    kind: CallKind<'_>,
    candidates: &[Candidate],
    criteria: &Criteria<'_>,
    now: Instant,
  ) -> Option<NodeId> {
    let mut inner = self.lock();
    let router = inner.routers.entry(kind.service.clone()).or_default();
    let node = router.pick(candidates, criteria, &mut rand::rng(), now)?;
    router.record_sent(node, now);
    Some(node)
  }

  /// True when a call to `node` may be handed back, since another candidate may have room for it.
  pub(crate) fn has_alternative(
    &self,
    kind: CallKind<'_>,
    candidates: &[Candidate],
    node: NodeId,
    avoid: &[NodeId],
    now: Instant,
  ) -> bool {
    let inner = self.lock();
    let router = inner.routers.get(kind.service);
    router.is_some_and(|router| router.has_alternative(candidates, node, avoid, now))
  }

  /// Records how a call to `node` ended.
  pub(crate) fn record_outcome(
    &self,
    kind: CallKind<'_>,
    node: NodeId,
    outcome: CallOutcome,
    report: Option<Report>,
    latency: Duration,
    now: Instant,
  ) {
    let mut inner = self.lock();
    if let Some(report) = report {
      inner
        .levels
        .observe(kind.route, report.level, Duration::ZERO, now);
    }
    if let Some(router) = inner.routers.get_mut(kind.service) {
      let sample = CallSample {
        outcome,
        latency,
        waited: report.map_or(Duration::ZERO, |report| report.waited),
        route: Some(kind.route.clone()),
        load: report
          .map(|report| report.load)
          .filter(|load| load.outstanding > 0),
      };
      router.record_outcome(node, &sample, now);
    }
  }

  /// Records a call for the retry ratio of its route.
  pub(crate) fn record_call(&self, route: &RouteName, percent: u8, now: Instant) {
    let mut inner = self.lock();
    if let Some(ratio) = inner.ratios.get_mut(route) {
      ratio.record_call(now);
      return;
    }
    let mut ratio = RetryRatio::new(percent, now);
    ratio.record_call(now);
    inner.ratios.insert(route.clone(), ratio);
  }

  /// Takes one retry from the ratio of the route; false when it is used up. The instance that gets
  /// the call also checks the budget of its service.
  pub(crate) fn try_retry(&self, route: &RouteName, now: Instant) -> bool {
    let mut inner = self.lock();
    let ratio = inner.ratios.get_mut(route);
    ratio.is_some_and(|ratio| ratio.try_retry(now))
  }

  /// Time after which the caller may send a refused request again.
  pub(crate) fn retry_delay(&self, route: &Route, service: &ServiceName) -> Duration {
    let inner = self.lock();
    let router = inner.routers.get(service);
    let mean_time = router.map_or(Duration::ZERO, |router| router.mean_time(&route.name));
    retry_delay(route.target, mean_time, rand::random())
  }

  /// Current admission level of a route.
  pub(crate) fn level(&self, route: &RouteName, now: Instant) -> Level {
    self.lock().levels.level(route, now)
  }

  /// Forgets an instance that is no longer a member.
  pub(crate) fn forget(&self, node: NodeId) {
    for router in self.lock().routers.values_mut() {
      router.forget(node);
    }
  }

  /// Drops the retry ratios and the round robins of backends after another preset came into force.
  pub(crate) fn reset_route_state(&self) {
    let mut inner = self.lock();
    inner.ratios.clear();
    inner.round_robins.clear();
  }

  fn lock(&self) -> MutexGuard<'_, Inner> {
    self.inner.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

/// How a failure counts for the instance that the call was sent to.
pub(crate) fn call_outcome(failure: &CallFailure) -> CallOutcome {
  match failure {
    CallFailure::NotRun {
      reason: NotRunReason::Connection | NotRunReason::Draining | NotRunReason::NoUpstream,
      ..
    } => CallOutcome::Unreachable,
    // The upstream's node sends it no more calls than it has slots, so it refused one that it had
    // room for.
    CallFailure::NotRun {
      reason: NotRunReason::Refused,
      ..
    } => CallOutcome::ServerError,
    CallFailure::Unknown { .. } => CallOutcome::Lost,
    CallFailure::NotRun { .. } => CallOutcome::NotRun,
  }
}
