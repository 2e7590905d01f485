use {
  cactusyoke_model::BodyError,
  serde::{Deserialize, Serialize},
};

/// Why a call, an answer or a control message was reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResetReason {
  /// See [`BodyError::ConnectionLost`].
  ConnectionLost,
  /// See [`BodyError::Deadline`].
  Deadline,
  /// See [`BodyError::Cancelled`].
  Cancelled,
  /// See [`BodyError::Length`].
  Length,
}

impl From<BodyError> for ResetReason {
  fn from(error: BodyError) -> Self {
    match error {
      BodyError::ConnectionLost => Self::ConnectionLost,
      BodyError::Deadline => Self::Deadline,
      BodyError::Cancelled => Self::Cancelled,
      BodyError::Length => Self::Length,
    }
  }
}

impl From<ResetReason> for BodyError {
  fn from(reason: ResetReason) -> Self {
    match reason {
      ResetReason::ConnectionLost => Self::ConnectionLost,
      ResetReason::Deadline => Self::Deadline,
      ResetReason::Cancelled => Self::Cancelled,
      ResetReason::Length => Self::Length,
    }
  }
}
