use {
  cactusyoke_model::{NodeId, RouteName},
  std::time::Duration,
};

/// Properties of a call that decide which instance it goes to.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
  /// Instances that must not be chosen.
  pub avoid: &'a [NodeId],
  /// Route of the call.
  pub route: Option<&'a RouteName>,
  /// Latency target of the route.
  pub target: Duration,
  /// Whether an upstream makes the call while it serves a request.
  pub nested: bool,
}

impl Criteria<'_> {
  /// Any instance, for a root request without a latency target.
  pub const ANY: Self = Self {
    avoid: &[],
    route: None,
    target: Duration::MAX,
    nested: false,
  };
}
