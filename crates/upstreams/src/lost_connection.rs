use cactusyoke_model::{RequestId, SpanId};

/// Part of the answer during which the connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerPart {
  /// Before the head was complete.
  Head,
  /// Before the body was complete.
  Body,
}

/// Report that the upstream closed the connection of a call that it was running.
///
/// Not reported: deadlines, cancellations, connections closed for silence, and request bodies that
/// their sender truncated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostConnection {
  /// Root request.
  pub root: RequestId,
  /// Call.
  pub span: SpanId,
  /// Part of the answer during which the connection was lost.
  pub part: AnswerPart,
  /// The connection had carried earlier calls and returned no byte of an answer: the upstream may
  /// have closed it as idle at the moment of its reuse.
  pub reused: bool,
}
