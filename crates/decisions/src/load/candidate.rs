use {
  cactusyoke_model::{NodeId, Slots},
  std::time::{Duration, Instant},
};

/// Serving instance of a service that a call can be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
  /// Node beside the instance.
  pub node: NodeId,
  /// When the instance began to serve.
  pub since: Instant,
  /// Announced slots, that is, concurrent calls.
  pub slots: Slots,
  /// One-way network latency to its data centre; zero for the sender's own.
  pub distance: Duration,
}
