use {
  crate::keys::RunId,
  cactusyoke_model::{NotRunReason, UnknownReason},
};

/// What a node knows of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup<T> {
  /// Nothing. A local request may start a run; a question about a run is answered as
  /// [`Lookup::Unknown`].
  Absent,
  /// The run has not ended. The call that ends it returns the waiter.
  Wait,
  /// The run ended with this answer.
  Done(T),
  /// The run did not and will not call the upstream. The key may be claimed again, with this run
  /// as released.
  NotRun(RunId),
  /// The run called the upstream, or may have, and there is no answer.
  Unknown(UnknownReason),
  /// Refused.
  Refused(NotRunReason),
}
