use {
  super::{DeterministicMap, UsualShare},
  cactusyoke_model::{Bottleneck, ClassRank, Priority, RequestId, RouteName},
  std::time::{Duration, Instant},
};

/// Smoothing of the cost of a route.
const COST_WEIGHT: f64 = 0.05;
/// Age at which a recorded cost is ignored.
const COST_EXPIRY: Duration = Duration::from_secs(30);
/// Maximum number of pairs of route and rank with a recorded cost.
const MAX_ROUTES: usize = 1024;
/// Multiple of the lowest competing cost above which a route counts as costly.
const COSTLY_RATIO: f64 = 1.2;
/// Share of the requests of a costly route that stays in the first half of its class, so that costly
/// routes are not starved.
const PROTECTED_SHARE: UsualShare = UsualShare::of_256(154.0);

#[derive(Clone, Copy, Debug)]
struct Cost {
  /// Hash of the name of the bottleneck, as in [`Bottleneck::service`].
  service: u32,
  /// Mean time for which a request occupies slots of that service, seconds.
  slot_time: f64,
  updated: Instant,
}

/// Cost of each route: the time for which its requests occupy the bottleneck, that is, the most
/// utilised of the services that work on them.
///
/// Routes of one rank that share a bottleneck differ in the slot time that a request takes there.
/// When not all requests fit, those of the costly routes are shed first, so that the most requests
/// are served.
#[derive(Debug, Default)]
pub struct Costs {
  /// By route and rank: the requests of one route can have several ranks, those of its tenants.
  routes: DeterministicMap<(RouteName, ClassRank), Cost>,
}

impl Costs {
  /// Costs without any record.
  pub fn new() -> Self {
    Self::default()
  }

  /// Records the cost of a root request that was answered completely.
  pub fn record(
    &mut self,
    route: &RouteName,
    rank: ClassRank,
    bottleneck: Bottleneck,
    now: Instant,
  ) {
    if bottleneck.service == 0 {
      return;
    }
    let slot_time = bottleneck.slot_time.as_secs_f64();
    let key = (route.clone(), rank);
    if let Some(cost) = self.routes.get_mut(&key) {
      if cost.service == bottleneck.service {
        cost.slot_time += (slot_time - cost.slot_time) * COST_WEIGHT;
        cost.updated = now;
        return;
      }
    } else if self.routes.len() >= MAX_ROUTES {
      return;
    }
    let cost = Cost {
      service: bottleneck.service,
      slot_time,
      updated: now,
    };
    self.routes.insert(key, cost);
  }

  /// Priority of a root request. When the competing routes differ in cost, a costly route's
  /// requests go to the second half of the class, except for the protected share; all others go to
  /// the first half.
  pub fn priority(
    &self,
    route: &RouteName,
    rank: ClassRank,
    root: RequestId,
    now: Instant,
  ) -> Priority {
    match self.is_costly(route, rank, now) {
      None => Priority::new(rank, root),
      Some(true) if !PROTECTED_SHARE.includes(root) => Priority::second_half(rank, root),
      Some(_) => Priority::first_half(rank, root),
    }
  }

  /// Priority of a root request of a tenant with this share of usual requests. The surplus goes to
  /// the second half of the class, as do the requests of costly routes. Both use the same position
  /// of the request, so that the smaller of the two shares stays in the first half, not their
  /// product.
  pub fn tenant_priority(
    &self,
    route: &RouteName,
    rank: ClassRank,
    root: RequestId,
    share: UsualShare,
    now: Instant,
  ) -> Priority {
    let costly = self.is_costly(route, rank, now) == Some(true);
    let deferred = costly && !PROTECTED_SHARE.includes(root);
    if share.includes(root) && !deferred {
      Priority::first_half(rank, root)
    } else {
      Priority::second_half(rank, root)
    }
  }

  /// True when the requests of a route cost more than those of the cheapest competing one; `None`
  /// when the competing routes do not differ, or the cost of the route is not known.
  fn is_costly(&self, route: &RouteName, rank: ClassRank, now: Instant) -> Option<bool> {
    let (own, (cheapest, costliest)) = self.compare(route, rank, now)?;
    let differ = costliest > cheapest * COSTLY_RATIO;
    differ.then_some(own > cheapest * COSTLY_RATIO)
  }

  /// Cost of a route, and the lowest and highest costs of the routes that compete with it.
  fn compare(&self, route: &RouteName, rank: ClassRank, now: Instant) -> Option<(f64, (f64, f64))> {
    let own = self.routes.get(&(route.clone(), rank))?;
    let fresh = |cost: &&Cost| now.saturating_duration_since(cost.updated) < COST_EXPIRY;
    let same_rank = self.routes.iter().filter(|((_, other), _)| *other == rank);
    let competing = same_rank
      .map(|(_, cost)| cost)
      .filter(fresh)
      .filter(|cost| cost.service == own.service);
    let range = competing.fold((f64::MAX, 0.0), |(least, most), cost| {
      (cost.slot_time.min(least), cost.slot_time.max(most))
    });
    Some((own.slot_time, range))
  }
}
