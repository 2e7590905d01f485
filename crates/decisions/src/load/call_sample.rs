use {
  cactusyoke_model::{InstanceLoad, RouteName},
  std::time::Duration,
};

/// How a call to another node ended, as seen by its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
  /// Response without a server error.
  Answered,
  /// Response with a server error.
  ServerError,
  /// Refused before it reached the upstream.
  NotRun,
  /// The instance cannot be reached, or accepts no calls.
  Unreachable,
  /// Connection lost, call timed out or response truncated.
  Lost,
}

/// Measurements of one finished call, as seen by its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallSample {
  /// How the call ended.
  pub outcome: CallOutcome,
  /// Time from sending the call to its end.
  pub latency: Duration,
  /// Part of the latency spent in the queue of the answering node.
  pub waited: Duration,
  /// Route of the call; latencies are compared per route.
  pub route: Option<RouteName>,
  /// Load that the answering node reported, if any.
  pub load: Option<InstanceLoad>,
}
