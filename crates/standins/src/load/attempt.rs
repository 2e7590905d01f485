/// Outcome of one attempt, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
  /// An upstream answered, and the answer arrived completely.
  Answered {
    /// The status is 2xx.
    success: bool,
  },
  /// The node reported that no upstream ran the request.
  NotRun,
  /// The node reported that an upstream may have run the request.
  Unknown,
  /// The connection was lost before the end of the answer; the request may have run.
  ConnectionLost,
  /// The caller's own deadline passed.
  TimedOut,
  /// No connection to the node was opened.
  Unreachable,
  /// The answer ended normally but does not match its hash: a fault of the system under test.
  Corrupt,
}

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
  /// Tag sent in the `x-request-tag` header: `CLASS-NUMBER.ATTEMPT`, both numbers from 0.
  pub tag: String,
  /// Outcome.
  pub outcome: AttemptOutcome,
}
