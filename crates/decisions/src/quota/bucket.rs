use {
  super::{Budget, Demand, Grant, Timing},
  cactusyoke_model::NodeId,
  std::{collections::HashMap, time::Instant},
};

#[derive(Clone, Copy, Debug)]
struct Lease {
  /// Tokens that the node may still use.
  tokens: u32,
  /// Tokens that the node last asked to hold.
  want: u32,
  until: Instant,
}

/// Tokens of one tenant at its granter.
///
/// The tokens in the bucket and in leases together never exceed the granter's share of the burst.
/// A token leaves the count once the node reports that it was used, so that the rate bounds what is
/// admitted in a window however long leases last.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
  budget: Budget,
  /// Tokens that are not leased; negative after requests admitted on credit.
  level: f64,
  leases: HashMap<NodeId, Lease>,
  /// Sums over the leases.
  leased: u32,
  wanted: u32,
  /// No lease ends before this time.
  first_end: Instant,
  updated: Instant,
  /// Time of the last request about the tenant.
  pub(super) asked: Instant,
}

impl Bucket {
  pub(super) fn new(budget: Budget, level: f64, now: Instant) -> Self {
    Self {
      budget,
      level,
      leases: HashMap::new(),
      leased: 0,
      wanted: 0,
      first_end: now,
      updated: now,
      asked: now,
    }
  }

  /// Adds tokens for the time since the last call, in which the granter had `share` of the cap.
  pub(super) fn fill(&mut self, share: f64, now: Instant) {
    let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
    self.updated = self.updated.max(now);
    self.level += elapsed * self.budget.rate * share;
    self.end_leases(now);
    self.limit(share);
  }

  /// Removes tokens beyond the granter's share of the burst.
  pub(super) fn limit(&mut self, share: f64) {
    self.level = self.level.min(self.room(share));
  }

  /// Changes the budget with a new version of the configuration.
  pub(super) fn set_budget(&mut self, budget: Budget, share: f64) {
    if self.budget != budget {
      self.budget = budget;
      self.limit(share);
    }
  }

  /// Answers a node; the bucket has been filled up to `now`.
  pub(super) fn serve(&mut self, node: NodeId, demand: &Demand, share: f64, now: Instant) -> Grant {
    let known = self.remove_lease(node);
    // Tokens of another granter, of a lease that has ended, or beyond the share are not renewed.
    let renewed = demand.held.min(known).min(self.room(share) as u32);
    // Only tokens of a lease that this granter knows can be given back.
    let returned = demand.returned.min(known - renewed);
    self.level += f64::from(returned) - f64::from(demand.credit);
    self.asked = now;
    self.leased += renewed;
    self.limit(share);
    let available = (self.level - self.budget.reserve(share)).max(0.0);
    let part = f64::from(demand.want) / f64::from((self.wanted + demand.want).max(1));
    // Twice the proportional part, since most nodes hold most of what they want.
    let fair = (2.0 * available * part).max(1.0).min(available);
    let added = demand.want.saturating_sub(renewed).min(fair as u32);
    self.level -= f64::from(added);
    self.leased += added;
    self.wanted += demand.want;
    let lease = Lease {
      tokens: renewed + added,
      want: demand.want,
      until: now + Timing::LEASE,
    };
    self.leases.insert(node, lease);
    Grant { renewed, added }
  }

  /// True when no request may be admitted on credit.
  pub(super) fn is_closed(&self, share: f64) -> bool {
    self.level < self.budget.credit_floor(share)
  }

  /// True when nothing is known that a new bucket would not know.
  pub(super) fn is_full(&self, share: f64) -> bool {
    self.leased == 0 && self.level >= self.budget.burst * share
  }

  /// Tokens that the share allows besides those that are leased.
  fn room(&self, share: f64) -> f64 {
    // With most of the cap, at least one token, so that a small cap admits requests while a few
    // nodes are missing. No two granters have more than half.
    let least = if share > 0.5 { 1.0 } else { 0.0 };
    let burst = (self.budget.burst * share).max(least);
    (burst - f64::from(self.leased)).max(0.0)
  }

  /// Removes the lease of a node and returns its tokens.
  fn remove_lease(&mut self, node: NodeId) -> u32 {
    let Some(lease) = self.leases.remove(&node) else {
      return 0;
    };
    self.leased -= lease.tokens;
    self.wanted -= lease.want;
    lease.tokens
  }

  fn end_leases(&mut self, now: Instant) {
    if self.first_end > now {
      return;
    }
    self.leases.retain(|_, lease| lease.until > now);
    self.leased = self.leases.values().map(|lease| lease.tokens).sum();
    self.wanted = self.leases.values().map(|lease| lease.want).sum();
    let ends = self.leases.values().map(|lease| lease.until);
    self.first_end = ends.min().unwrap_or(now + Timing::LEASE);
  }
}
