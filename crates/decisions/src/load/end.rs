use std::time::Duration;

/// How a call to another node ended, as its sender sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
  /// Response without a server error.
  Answered,
  /// Response with a server error.
  ServerError,
  /// Refused before it reached the upstream.
  NotRun,
  /// Connection lost, timed out or response cut.
  Lost,
}

/// Measurements of a finished call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completed {
  /// Outcome.
  pub outcome: CallEnd,
  /// Time from sending to the end.
  pub latency: Duration,
  /// Calls in flight and queued at the answering node, when it reported them.
  pub load: Option<u32>,
}
