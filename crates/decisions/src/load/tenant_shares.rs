//! Requests by which tenants exceed their usual rate, as seen by an entry node.
//!
//! Under overload, the tenant that sends many times its usual is to lose its own surplus first. An
//! entry node knows only the requests that enter through it, so it compares each tenant's recent
//! requests here with the tenant's own long average here. The surplus goes to the second half of the
//! class, which is shed before the first.

use {
  super::{DeterministicMap, UsualShare},
  cactusyoke_model::TenantName,
  std::time::{Duration, Instant},
};

/// Time constant of the recent count. Surges last seconds, and a surplus that is not seen yet is shed
/// at the cost of the other tenants.
const RECENT: Duration = Duration::from_secs(1);
/// Time constant of the usual rate; its half-life is 30 s.
const USUAL: Duration = Duration::from_millis(43_281);
/// Observation time below which no usual rate is known.
const MIN_OBSERVATION: Duration = Duration::from_secs(3);
/// Multiple of the usual rate that is no surplus yet.
const HEADROOM: f64 = 1.1;
/// Standard deviations of the recent count that are no surplus yet. The variance of a count with
/// exponentially decaying weights is half of its mean.
const DEVIATIONS: f64 = 1.0;
/// Lowest served share of a tenant's requests relative to that of all requests. A quarter is
/// required; the rest is for random variation.
const MIN_RELATIVE_SHARE: f64 = 0.25 * 1.25;
/// Largest factor of a surge that is assumed to reach all entry nodes. A larger one is taken to be a
/// tenant whose requests enter at few nodes, which are a smaller part of all requests than of those
/// at this node.
const MAX_FACTOR: f64 = 10.0;
/// Part of the surplus that is learned as usual. With all that is not shed, a tenant's usual rate rose
/// by a third during a surge of five seconds, and with it what the others lost.
const LEARNED_SURPLUS: f64 = 0.05;
/// Maximum number of tenants with a record; requests of further ones are never surplus.
const MAX_TENANTS: usize = 4096;
/// Time without requests after which a tenant's record is dropped.
const EXPIRY: Duration = Duration::from_mins(5);

/// Sum of weights that decay exponentially.
#[derive(Clone, Copy, Debug)]
struct Decayed {
  sum: f64,
  updated: Instant,
}

impl Decayed {
  const fn new(now: Instant) -> Self {
    Self {
      sum: 0.0,
      updated: now,
    }
  }

  fn at(&self, now: Instant, time_constant: Duration) -> f64 {
    let age = now.saturating_duration_since(self.updated);
    self.sum * (-age.div_duration_f64(time_constant)).exp()
  }

  fn add(&mut self, weight: f64, now: Instant, time_constant: Duration) {
    self.sum = self.at(now, time_constant) + weight;
    self.updated = self.updated.max(now);
  }
}

#[derive(Clone, Copy, Debug)]
struct Usage {
  /// Requests, with time constant [`RECENT`].
  recent: Decayed,
  /// The same without the surplus.
  kept: Decayed,
  /// Requests at the usual rate, with time constant [`USUAL`].
  usual: Decayed,
}

impl Usage {
  const fn new(now: Instant) -> Self {
    Self {
      recent: Decayed::new(now),
      kept: Decayed::new(now),
      usual: Decayed::new(now),
    }
  }

  fn add(&mut self, weights: Weights, now: Instant) {
    self.recent.add(1.0, now, RECENT);
    self.kept.add(weights.kept, now, RECENT);
    self.usual.add(weights.usual, now, USUAL);
  }
}

/// How a request counts, from 0 to 1.
#[derive(Clone, Copy, Debug)]
struct Weights {
  /// Share of the tenant's requests that is no surplus.
  kept: f64,
  /// Part of the request that is learned as usual.
  usual: f64,
}

impl Weights {
  const ALL: Self = Self {
    kept: 1.0,
    usual: 1.0,
  };
}

/// Recent and usual request rates of tenants at one entry node.
#[derive(Debug, Default)]
pub struct TenantShares {
  tenants: DeterministicMap<TenantName, Usage>,
  /// All tenants together.
  total: Option<Usage>,
  /// First request.
  start: Option<Instant>,
  pruned: Option<Instant>,
}

impl TenantShares {
  /// Without any record.
  pub fn new() -> Self {
    Self::default()
  }

  /// Counts a root request of a tenant, and returns the share of the tenant's requests that is
  /// within its usual rate.
  pub fn record(&mut self, tenant: &TenantName, now: Instant) -> UsualShare {
    self.prune(now);
    let start = *self.start.get_or_insert(now);
    let total = self.total.get_or_insert(Usage::new(now));
    if self.tenants.len() >= MAX_TENANTS && !self.tenants.contains_key(tenant) {
      return UsualShare::ALL;
    }
    let known = self.tenants.len().max(1);
    let usage = match self.tenants.get_mut(tenant) {
      Some(usage) => usage,
      None => self
        .tenants
        .entry(tenant.clone())
        .or_insert(Usage::new(now)),
    };
    let observed = now.saturating_duration_since(start);
    let weights = if observed < MIN_OBSERVATION {
      Weights::ALL
    } else {
      weights(usage, total, known, observed, now)
    };
    usage.add(weights, now);
    total.add(weights, now);
    UsualShare::of_256(weights.kept * 256.0)
  }

  /// Drops the records of tenants without requests.
  fn prune(&mut self, now: Instant) {
    let pruned = *self.pruned.get_or_insert(now);
    if now.saturating_duration_since(pruned) < EXPIRY {
      return;
    }
    self.pruned = Some(now);
    let fresh = |usage: &Usage| now.saturating_duration_since(usage.recent.updated) < EXPIRY;
    self.tenants.retain(|_, usage| fresh(usage));
  }
}

/// How a request of a tenant counts.
///
/// The expected rate is the usual one, times the growth of the other tenants, since a surge of all is
/// no tenant's own; their surplus is left out of it, or several hot tenants would hide each other. It
/// is at least an equal part of the node's recent requests, so that a tenant that is new here, such
/// as one whose callers moved from another data centre, has no surplus while it sends less.
fn weights(
  usage: &Usage,
  total: &Usage,
  known: usize,
  observed: Duration,
  now: Instant,
) -> Weights {
  let recent = usage.recent.at(now, RECENT) + 1.0;
  let other_recent = (total.recent.at(now, RECENT) + 1.0 - recent).max(0.0);
  let other_kept = (total.kept.at(now, RECENT) - usage.kept.at(now, RECENT)).max(0.0);
  // Sum of the weights that one request a second has in each of the counts.
  let weight = |time_constant: Duration| {
    let decay = (-observed.div_duration_f64(time_constant)).exp();
    time_constant.as_secs_f64() * (1.0 - decay)
  };
  // The usual rates are expressed as recent counts.
  let scale = weight(RECENT) / weight(USUAL);
  let usual = usage.usual.at(now, USUAL) * scale;
  let other_usual = (total.usual.at(now, USUAL) * scale - usual).max(0.0);
  let growth = if other_usual > 0.0 {
    (other_kept / other_usual).max(1.0)
  } else {
    1.0
  };
  let equal_part = (other_recent + recent) / known as f64;
  let expected = (usual * growth * HEADROOM).max(equal_part);
  let limit = expected + DEVIATIONS * (expected / 2.0).sqrt() + 1.0;
  if limit >= recent {
    return Weights::ALL;
  }
  let usual_part = usual / (usual + other_usual).max(f64::MIN_POSITIVE);
  let protected = protected_share(recent / (recent + other_recent), usual_part);
  let learned = usual / recent;
  Weights {
    kept: (limit / recent).max(protected).min(1.0),
    usual: learned + LEARNED_SURPLUS * (1.0 - learned),
  }
}

/// Share of a tenant's requests that is never surplus: so many that it is served
/// [`MIN_RELATIVE_SHARE`] times as often as all while the rest of it is shed and the others are
/// served whole. `part` and `usual_part` are the tenant's parts of the recent and the usual requests.
fn protected_share(part: f64, usual_part: f64) -> f64 {
  let most = MAX_FACTOR * usual_part / (1.0 + (MAX_FACTOR - 1.0) * usual_part);
  let part = part.min(most);
  MIN_RELATIVE_SHARE * (1.0 - part) / (1.0 - MIN_RELATIVE_SHARE * part)
}
