use cactusyoke_model::NotRunReason;

/// What the gate decided about an offered call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum OfferOutcome {
  /// The call starts now.
  Start,
  /// The call waits in the queue.
  Queued {
    /// Queued call that was removed to make room. It was not run.
    evicted: Option<u64>,
  },
  /// The call is not run.
  Refused(NotRunReason),
}

/// What to do with a queued call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateAction {
  /// Starts the call at the upstream.
  Start(u64),
  /// Drops the call, which was not run.
  Drop(u64, NotRunReason),
}
