use {super::QuotaBounds, cactusyoke_model::UsageCap, std::time::Duration};

/// Most by which the shares of all nodes may sum to more than one, since a node that joins is known
/// to itself before it is known to the others.
const MAX_EXCESS_SHARES: f64 = 0.02;

/// Most tokens kept for requests that nodes admit on credit.
const MAX_RESERVE: f64 = 16.0;

/// Token bucket that keeps a tenant to its cap and uses the allowed excess.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
  /// Tokens added each second.
  pub rate: f64,
  /// Most tokens in the bucket and in leases.
  pub burst: f64,
  /// Whether nodes may admit requests on credit.
  pub credit: bool,
}

impl Budget {
  /// Budget for a cap within bounds.
  pub fn new(cap: UsageCap, bounds: &QuotaBounds) -> Self {
    let excess = MAX_EXCESS_SHARES.min(bounds.over / 5.0);
    let limit = bounds.limit(cap) / (1.0 + excess);
    // Half of the allowed part goes to the rate; the rest and the slack let nodes hold tokens.
    let rate = cap.rate.per_second() * (1.0 + bounds.over / 2.0) / (1.0 + excess);
    let burst = limit - rate * bounds.window.as_secs_f64();
    Self {
      rate,
      // A bucket that holds less than one token would never admit a request.
      burst: burst.max(1.0),
      credit: bounds.allows_credit(),
    }
  }

  /// Tokens that are not leased, so that nodes without a lease can admit requests on credit.
  pub(super) fn reserve(&self, share: f64) -> f64 {
    if self.credit {
      (self.burst * share / 2.0).min(MAX_RESERVE)
    } else {
      0.0
    }
  }

  /// Tokens in the bucket below which no request may be admitted on credit.
  pub(super) fn credit_floor(&self, share: f64) -> f64 {
    if self.credit {
      (self.reserve(share) / 2.0).max(1.0)
    } else {
      f64::INFINITY
    }
  }

  /// True when nodes may admit requests of a tenant that the granter was not asked about, with
  /// `share` of the cap for `age`.
  pub(super) fn opens_unasked(&self, share: f64, age: Duration) -> bool {
    let gathered = (self.rate * age.as_secs_f64()).min(self.burst) * share;
    gathered >= self.credit_floor(share)
  }

  /// Requests that one of `nodes` nodes may admit on credit before the granter has charged them.
  pub(super) fn credit_limit(&self, nodes: u32) -> u32 {
    if self.credit {
      // Two, since callers often send two requests at the same time.
      ((self.burst / 4.0 / f64::from(nodes.max(1))) as u32).max(2)
    } else {
      0
    }
  }
}
