use cactusyoke_model::{RequestId, SpanId};

/// Part of a call in which its connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPart {
  /// Before the head of the answer.
  Head,
  /// Within the body of the answer.
  Body,
}

/// Report that the upstream dropped the connection of a call that it was running.
///
/// Deadlines, cancellations, connections taken out of use for silence and bodies cut off by their
/// sender are not crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
  /// Root request.
  pub root: RequestId,
  /// Call.
  pub span: SpanId,
  /// Where the connection was lost.
  pub part: CrashPart,
  /// The connection had carried earlier calls and gave no byte of an answer: the upstream may have
  /// closed it as idle at the same moment.
  pub reused: bool,
}
