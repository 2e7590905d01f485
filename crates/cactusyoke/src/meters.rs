//! Counters of call outcomes, one set per route of the preset in force.

use {
  arc_swap::ArcSwap,
  cactusyoke_model::{Answer, CallFailure, Preset, RouteName},
  cactusyoke_operators::{CallMetrics, Metrics},
  std::{collections::HashMap, sync::Arc},
};

/// Metrics of a node, and its counters by route.
#[derive(Debug)]
pub(crate) struct Meters {
  pub(crate) metrics: Arc<Metrics>,
  routes: ArcSwap<HashMap<RouteName, Arc<CallMetrics>>>,
}

impl Meters {
  pub(crate) fn new(metrics: Arc<Metrics>) -> Self {
    Self {
      metrics,
      routes: ArcSwap::default(),
    }
  }

  /// Sets up the counters for the routes of a preset that came into force.
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
  }

  /// Counters of a route; `None` for a route of a preset that is no longer in force.
  pub(crate) fn route(&self, route: &RouteName) -> Option<Arc<CallMetrics>> {
    self.routes.load().get(route).cloned()
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
