use {
  cactusyoke_model::{NodeId, Slots},
  std::time::{Duration, Instant},
};

/// Serving instance of a service that a call can be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
  /// Node next to the instance.
  pub node: NodeId,
  /// Serving since.
  pub since: Instant,
  /// Announced slots.
  pub slots: Slots,
  /// One-way distance to its data centre; zero for the sender's own.
  pub distance: Duration,
}
