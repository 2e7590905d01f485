//! Counters of call outcomes, one set per route and one per tenant of the preset in force.

use {
  arc_swap::ArcSwap,
  cactusyoke_model::{Answer, CallFailure, Preset, RouteName, TenantName},
  cactusyoke_operators::{CallMetrics, Metrics, TenantMetrics},
  std::{collections::HashMap, sync::Arc},
};

/// Metrics of a node, and its counters by route.
#[derive(Debug)]
pub(crate) struct Meters {
  pub(crate) metrics: Arc<Metrics>,
  routes: ArcSwap<HashMap<RouteName, Arc<CallMetrics>>>,
  tenants: ArcSwap<HashMap<TenantName, Arc<TenantMetrics>>>,
}

impl Meters {
  pub(crate) fn new(metrics: Arc<Metrics>) -> Self {
    Self {
      metrics,
      routes: ArcSwap::default(),
      tenants: ArcSwap::default(),
    }
  }

  /// Sets up the counters for the routes and tenants of a preset that came into force.
  pub(crate) fn adopt(&self, preset: &Preset) {
    let routes = preset
      .routes
      .iter()
      .map(|route| {
        (
          route.name.clone(),
          self.metrics.calls(route.service(), &route.class),
        )
      })
      .collect();
    self.routes.store(Arc::new(routes));
    let tenants = preset.tenants.keys();
    let tenants = tenants.map(|tenant| (tenant.clone(), self.metrics.tenant(tenant)));
    self.tenants.store(Arc::new(tenants.collect()));
  }

  /// Counters of a route; `None` for a route of a preset that is no longer in force.
  pub(crate) fn route(&self, route: &RouteName) -> Option<Arc<CallMetrics>> {
    self.routes.load().get(route).cloned()
  }

  /// Counts how a root request of a tenant ended.
  pub(crate) fn count_tenant(&self, tenant: &TenantName, result: &Result<Answer, CallFailure>) {
    let tenants = self.tenants.load();
    // Requests of a tenant that is no longer in the preset are not counted.
    let Some(counters) = tenants.get(tenant) else {
      return;
    };
    match result {
      Ok(_) => counters.answered(),
      Err(CallFailure::NotRun { reason, .. }) => counters.not_run(*reason),
      Err(CallFailure::Unknown { .. }) => counters.unknown(),
    }
  }

  /// Counts how a request or an outgoing call ended.
  pub(crate) fn count_outcome(&self, route: &RouteName, result: &Result<Answer, CallFailure>) {
    let Some(calls) = self.route(route) else {
      return;
    };
    match result {
      Ok(_) => calls.answered(),
      Err(CallFailure::NotRun { reason, .. }) => calls.not_run(*reason),
      Err(CallFailure::Unknown { reason }) => calls.unknown(*reason),
    }
  }
}
