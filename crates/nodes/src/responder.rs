use {
  crate::{
    link::{BodySender, Link, SendResult, Stream},
    wire::{AnswerHead, Frame, ResetReason},
  },
  cactusyoke_model::{Answer, BodyError, CallFailure, UnknownReason},
  std::{borrow::Cow, future::poll_fn, sync::Arc},
};

/// Sends the outcome of an incoming call; dropping it reports the outcome as unknown.
#[derive(Debug)]
pub struct Responder {
  link: Arc<Link>,
  stream: Arc<Stream>,
  answered: bool,
}

impl Responder {
  pub(crate) fn new(link: Arc<Link>, stream: Arc<Stream>) -> Self {
    Self {
      link,
      stream,
      answered: false,
    }
  }

  /// Streams the answer. Resolves when the complete body has been queued, or with the reason why it
  /// was truncated. Dropping the future truncates the answer.
  pub async fn answer(mut self, answer: Answer) -> Result<(), BodyError> {
    let end = http_body::Body::is_end_stream(&answer.body);
    if self.stream.is_reset() {
      return Err(BodyError::Cancelled);
    }
    let head = Frame::Answer(AnswerHead {
      stream: self.stream.id,
      end,
      status: answer.status.as_u16(),
      headers: Cow::Borrowed(&answer.headers),
      report: answer.report,
    });
    if let Err(error) = self.link.outbox.push(&head) {
      tracing::warn!(peer = %self.link.peer.node, %error, "answer head does not fit in a frame");
      self.refuse(CallFailure::unknown(UnknownReason::BadAnswer));
      return Err(BodyError::Length);
    }
    self.answered = true;
    if !end {
      let (link, stream) = (Arc::clone(&self.link), Arc::clone(&self.stream));
      let mut sender = BodySender::new(link, stream, answer.body);
      match poll_fn(|cx| sender.poll(cx)).await {
        SendResult::Complete => {}
        SendResult::Stopped => return Err(BodyError::Cancelled),
        SendResult::Failed(error) => {
          self.link.reset(&self.stream, error.into());
          return Err(error);
        }
      }
    }
    if !self.link.remove(self.stream.id) {
      return Err(BodyError::Cancelled);
    }
    self.stream.finish();
    Ok(())
  }

  /// Ends the call without an answer.
  pub fn refuse(self, failure: CallFailure) {
    self.send_refusal(failure);
  }

  fn send_refusal(&self, failure: CallFailure) {
    if self.link.remove(self.stream.id) {
      self.stream.finish();
      self.link.push(&Frame::Refuse {
        stream: self.stream.id,
        failure,
      });
    }
  }
}

impl Drop for Responder {
  fn drop(&mut self) {
    if self.answered {
      self.link.reset(&self.stream, ResetReason::ConnectionLost);
    } else {
      self.send_refusal(CallFailure::unknown(UnknownReason::Connection));
    }
  }
}
