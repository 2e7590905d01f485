use cactusyoke_model::{Answer, BodyError, CallFailure};

/// Takes the outcome of an incoming call; dropping it reports the outcome as unknown.
#[derive(Debug)]
pub struct Responder;

impl Responder {
  /// Streams the answer. Resolves when the whole body has been handed to the link, or with the
  /// reason for which it was cut off.
  pub async fn answer(self, _answer: Answer) -> Result<(), BodyError> {
    Err(BodyError::Cut)
  }

  /// Reports that there is no answer.
  pub fn refuse(self, _failure: CallFailure) {}
}
