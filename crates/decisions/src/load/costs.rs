use {
  super::Table,
  cactusyoke_model::{ClassRank, Priority, RequestId, RouteName, Strain},
  std::time::{Duration, Instant},
  xxhash_rust::xxh3::xxh3_64,
};

/// Smoothing of the cost of a route.
const WEIGHT: f64 = 0.05;
/// Time after which a cost says nothing any more.
const EXPIRY: Duration = Duration::from_secs(30);
/// Routes whose costs are kept.
const MAX_ROUTES: usize = 1024;
/// Multiple of the cheapest cost above which a route counts as costly.
const COSTLY: f64 = 1.2;
/// Part of the requests of a costly route that is shed no earlier than those of others, so that
/// none starves, of 256.
const PROTECTED: u64 = 154;

#[derive(Clone, Copy, Debug)]
struct Cost {
  rank: ClassRank,
  /// Service with the least room.
  service: u32,
  /// Work of a request there, seconds.
  work: f64,
  noted: Instant,
}

/// What requests of each route cost the service with the least room below them.
///
/// Routes of one rank that meet at such a service differ in the work that they need there for one
/// answer. When not all fit, those that need more are shed first, which serves the most requests.
#[derive(Debug, Default)]
pub struct Costs {
  routes: Table<RouteName, Cost>,
}

impl Costs {
  /// Without knowledge of any route.
  pub fn new() -> Self {
    Self::default()
  }

  /// Takes note of a whole answer to a root request.
  pub fn record(&mut self, route: &RouteName, rank: ClassRank, strain: Strain, now: Instant) {
    if strain.service == 0 {
      return;
    }
    let work = strain.work.as_secs_f64();
    if let Some(cost) = self.routes.get_mut(route) {
      if cost.service == strain.service && cost.rank == rank {
        cost.work += (work - cost.work) * WEIGHT;
        cost.noted = now;
        return;
      }
    } else if self.routes.len() >= MAX_ROUTES {
      return;
    }
    let cost = Cost {
      rank,
      service: strain.service,
      work,
      noted: now,
    };
    self.routes.insert(route.clone(), cost);
  }

  /// Priority of a root request within its class: requests of costly routes stand behind the
  /// others, but for a protected part of them.
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
    if costliest <= cheapest * COSTLY {
      return Priority::new(rank, root);
    }
    // Other bits than those of the sub-level.
    let protected = (xxh3_64(&root.0.to_le_bytes()) >> 32) % 256 < PROTECTED;
    if own > cheapest * COSTLY && !protected {
      Priority::second_half(rank, root)
    } else {
      Priority::first_half(rank, root)
    }
  }

  /// Cost of a route, and the least and the greatest cost of the routes that compete with it.
  fn compare(&self, route: &RouteName, rank: ClassRank, now: Instant) -> Option<(f64, (f64, f64))> {
    let own = self.routes.get(route)?;
    let fresh = |cost: &&Cost| now.saturating_duration_since(cost.noted) < EXPIRY;
    let competing = self
      .routes
      .values()
      .filter(fresh)
      .filter(|cost| cost.rank == rank && cost.service == own.service);
    let range = competing.fold((f64::MAX, 0.0), |(least, most), cost| {
      (cost.work.min(least), cost.work.max(most))
    });
    Some((own.work, range))
  }
}
