use {
  super::DeterministicMap,
  cactusyoke_model::{Bottleneck, ClassRank, Priority, RequestId, RouteName},
  std::time::{Duration, Instant},
  xxhash_rust::xxh3::xxh3_64,
};

/// Smoothing of the cost of a route.
const COST_WEIGHT: f64 = 0.05;
/// Age at which a recorded cost is ignored.
const COST_EXPIRY: Duration = Duration::from_secs(30);
/// Maximum number of pairs of route and rank with a recorded cost.
const MAX_ROUTES: usize = 1024;
/// Multiple of the lowest competing cost above which a route counts as costly.
const COSTLY_RATIO: f64 = 1.2;
/// Share of the requests of a costly route, in 1/256, that stays in the first half of its class, so
/// that costly routes are not starved.
const PROTECTED_SHARE: u64 = 154;

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
    let Some((own, others)) = self.compare(route, rank, now) else {
      return Priority::new(rank, root);
    };
    let (cheapest, costliest) = others;
    if costliest <= cheapest * COSTLY_RATIO {
      return Priority::new(rank, root);
    }
    // The sub-level is taken from other bits of the hash.
    let protected = (xxh3_64(&root.0.to_le_bytes()) >> 32) % 256 < PROTECTED_SHARE;
    if own > cheapest * COSTLY_RATIO && !protected {
      Priority::second_half(rank, root)
    } else {
      Priority::first_half(rank, root)
    }
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
