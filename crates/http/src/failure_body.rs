use {
  bytes::Bytes,
  cactusyoke_model::BodyError,
  http_body::{Body, Frame, SizeHint},
  hyper::body::Incoming,
  std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
  },
  tokio::time::{Sleep, sleep},
};

/// Time for which the rest of a refused request is read.
const LINGER: Duration = Duration::from_secs(5);

/// Text of a refusal, followed by reading the rest of the refused request.
///
/// Closing a connection with unread bytes resets it, and the reset can reach the caller before the
/// refusal does: a caller in the middle of an upload would not learn that it was not run.
#[derive(Debug)]
pub(crate) struct FailureBody {
  text: Bytes,
  rest: Option<(Incoming, Pin<Box<Sleep>>)>,
}

impl FailureBody {
  pub(crate) fn new(text: Bytes, rest: Option<Incoming>) -> Self {
    Self {
      text,
      rest: rest.map(|rest| (rest, Box::pin(sleep(LINGER)))),
    }
  }
}

impl Body for FailureBody {
  type Data = Bytes;
  type Error = BodyError;

  fn poll_frame(
    self: Pin<&mut Self>,
    cx: &mut Context<'_>,
  ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    let this = self.get_mut();
    if !this.text.is_empty() {
      return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut this.text)))));
    }
    while let Some((rest, timer)) = &mut this.rest {
      match Pin::new(rest).poll_frame(cx) {
        Poll::Ready(Some(Ok(_discarded))) => {
          if timer.as_mut().poll(cx).is_ready() {
            this.rest = None;
          }
        }
        Poll::Ready(None | Some(Err(_))) => this.rest = None,
        Poll::Pending if timer.as_mut().poll(cx).is_ready() => this.rest = None,
        Poll::Pending => return Poll::Pending,
      }
    }
    Poll::Ready(None)
  }

  fn is_end_stream(&self) -> bool {
    self.text.is_empty() && self.rest.is_none()
  }

  fn size_hint(&self) -> SizeHint {
    let length = self.text.len() as u64;
    if self.rest.is_none() {
      return SizeHint::with_exact(length);
    }
    // Without an exact length the connection reads this body until it ends.
    let mut hint = SizeHint::new();
    hint.set_lower(length);
    hint
  }
}
