/// How one attempt ended, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
  /// Answered completely by an upstream.
  Answered {
    /// The status is 2xx.
    success: bool,
  },
  /// The node says that it was not run.
  NotRun,
  /// The node says that it does not know.
  Unknown,
  /// The connection was lost; the caller does not know.
  Broken,
  /// The caller's own deadline passed.
  Late,
  /// No connection to the node was opened.
  Unreachable,
  /// The answer looked complete and was not: a fault of the system under test.
  Corrupt,
}

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
  /// Tag sent in the `x-request-tag` header: `NAME-NUMBER.ATTEMPT`.
  pub tag: String,
  /// How it ended.
  pub outcome: AttemptOutcome,
}
