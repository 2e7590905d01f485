use {
  cactusyoke_model::NodeId,
  std::{
    collections::HashMap,
    time::{Duration, Instant},
  },
};

#[derive(Clone, Copy, Debug)]
struct Delegation {
  since: Instant,
  until: Instant,
  share: f64,
}

/// Shares of the caps that nodes have delegated to a granter.
///
/// A granter answers thousands of requests a second in a large cluster, so sums are kept.
#[derive(Clone, Debug, Default)]
pub(super) struct Delegations {
  nodes: HashMap<NodeId, Delegation>,
  share: f64,
  /// No delegation ends before this time.
  first_end: Option<Instant>,
}

impl Delegations {
  /// Sum of the shares.
  pub(super) const fn share(&self) -> f64 {
    self.share
  }

  /// End of the delegation that ends first, if that is `now` or earlier.
  pub(super) fn next_end(&mut self, now: Instant) -> Option<Instant> {
    if self.first_end.is_some_and(|end| end <= now) {
      self.first_end = self.nodes.values().map(|held| held.until).min();
    }
    self.first_end.filter(|end| *end <= now)
  }

  /// Removes the delegations that have ended.
  pub(super) fn remove_ended(&mut self, now: Instant) {
    self.nodes.retain(|_, held| held.until > now);
    self.update_share();
  }

  /// True when the share of a node changes with a delegation of one in `nodes`.
  pub(super) fn changes(&self, node: NodeId, nodes: u32) -> bool {
    let known = self.nodes.get(&node);
    known.is_none_or(|held| held.share.to_bits() != share_of(nodes).to_bits())
  }

  /// Adds or extends the delegation of a node.
  pub(super) fn extend(&mut self, node: NodeId, nodes: u32, until: Instant, now: Instant) {
    let changes = self.changes(node, nodes);
    let share = share_of(nodes);
    let held = self.nodes.entry(node).or_insert(Delegation {
      since: now,
      until,
      share,
    });
    if share > held.share {
      held.since = now;
    }
    held.share = share;
    held.until = held.until.max(until);
    self.first_end = Some(self.first_end.map_or(until, |end| end.min(until)));
    if changes {
      self.update_share();
    }
  }

  /// Tokens that have gathered since the shares were delegated.
  pub(super) fn gathered(&self, rate: f64, burst: f64, now: Instant) -> f64 {
    let tokens = |held: &Delegation| {
      let age = now.saturating_duration_since(held.since).as_secs_f64();
      held.share * (rate * age).min(burst)
    };
    self.nodes.values().map(tokens).sum::<f64>().min(burst)
  }

  /// Mean time since the shares were delegated.
  pub(super) fn mean_age(&self, now: Instant) -> Duration {
    let ages = self
      .nodes
      .values()
      .map(|held| now.saturating_duration_since(held.since));
    let count = self.nodes.len().max(1) as u32;
    ages.sum::<Duration>() / count
  }

  fn update_share(&mut self) {
    let sum = self.nodes.values().map(|held| held.share).sum::<f64>();
    self.share = sum.min(1.0);
  }
}

fn share_of(nodes: u32) -> f64 {
  1.0 / f64::from(nodes.max(1))
}
