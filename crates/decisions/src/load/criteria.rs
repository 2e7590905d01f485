use {
  cactusyoke_model::{NodeId, RouteName},
  std::time::Duration,
};

/// What an instance is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
  /// Instances not to be chosen.
  pub avoid: &'a [NodeId],
  /// Route of the call.
  pub route: Option<&'a RouteName>,
  /// Time within which an answer is worth most.
  pub target: Duration,
  /// The call belongs to a request that upstreams have worked on already.
  pub nested: bool,
}

impl Criteria<'_> {
  /// Any instance, for a call without a target.
  pub const ANY: Self = Self {
    avoid: &[],
    route: None,
    target: Duration::MAX,
    nested: false,
  };
}
