use cactusyoke_model::NotRunReason;

/// Answer to an offered call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum OfferOutcome {
  /// The call starts now.
  Start,
  /// The call waits.
  Queued {
    /// Waiting call that lost its place and has not run.
    evicted: Option<u64>,
  },
  /// The call was not run.
  Refused(NotRunReason),
}

/// What to do with a queued call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateAction {
  /// Starts the call at the upstream.
  Start(u64),
  /// Removes the call, which has not run.
  Drop(u64, NotRunReason),
}
