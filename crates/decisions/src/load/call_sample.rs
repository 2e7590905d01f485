use {
  cactusyoke_model::{Outlook, RouteName},
  std::time::Duration,
};

/// How a call to another node ended, as its sender sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
  /// Response without a server error.
  Answered,
  /// Response with a server error.
  ServerError,
  /// Refused before it reached the upstream.
  NotRun,
  /// The instance cannot be reached, or takes no calls.
  Unreachable,
  /// Connection lost, timed out or response cut.
  Lost,
}

/// Measurements of a finished call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallSample {
  /// Outcome.
  pub outcome: CallOutcome,
  /// Time from sending to the end.
  pub latency: Duration,
  /// Part of it in the queue of the answering node.
  pub waited: Duration,
  /// Route, since routes differ in their work.
  pub route: Option<RouteName>,
  /// Load of the answering node, when it reported it.
  pub outlook: Option<Outlook>,
}
