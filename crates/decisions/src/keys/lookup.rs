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
  /// The run has not ended: the waiter will be named when it does.
  Wait,
  /// The run ended with this answer.
  Done(T),
  /// The run certified that it did not and will not run; the key may be claimed anew, naming it
  /// as released.
  NotRun(RunId),
  /// The key ran, or may have run, and there is no answer.
  Unknown(UnknownReason),
  /// Refused.
  Refused(NotRunReason),
}
