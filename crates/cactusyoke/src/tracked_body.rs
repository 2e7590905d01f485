//! Answer bodies that report how they ended.

use {
  bytes::Bytes,
  cactusyoke_model::{Body, BodyError},
  http_body::{Body as _, Frame, SizeHint},
  std::{
    pin::Pin,
    task::{Context, Poll},
    time::Instant,
  },
  tokio::time::{Sleep, sleep_until},
};

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyEnd {
  /// All of it arrived.
  Complete,
  /// It was truncated, or the deadline passed.
  Failed(BodyError),
  /// The reader dropped it before its end.
  Dropped,
}

/// Body that calls a function once when it ends, and fails when the deadline passes.
pub(crate) struct TrackedBody<F: FnOnce(BodyEnd) + Send + Unpin + 'static> {
  body: Body,
  deadline: Instant,
  timer: Option<Pin<Box<Sleep>>>,
  on_end: Option<F>,
}

impl<F: FnOnce(BodyEnd) + Send + Unpin + 'static> TrackedBody<F> {
  pub(crate) fn new(body: Body, deadline: Instant, on_end: F) -> Self {
    let mut tracked = Self {
      body,
      deadline,
      timer: None,
      on_end: Some(on_end),
    };
    if tracked.body.is_end_stream() {
      tracked.end(BodyEnd::Complete);
    }
    tracked
  }

  fn end(&mut self, end: BodyEnd) {
    if let Some(on_end) = self.on_end.take() {
      on_end(end);
    }
  }

  fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<()> {
    // Most bodies are ready at the first poll, so the timer is created only when it is needed.
    let deadline = self.deadline;
    let timer = self
      .timer
      .get_or_insert_with(|| Box::pin(sleep_until(deadline.into())));
    timer.as_mut().poll(cx)
  }
}

impl<F: FnOnce(BodyEnd) + Send + Unpin + 'static> http_body::Body for TrackedBody<F> {
  type Data = Bytes;
  type Error = BodyError;

  fn poll_frame(
    mut self: Pin<&mut Self>,
    cx: &mut Context<'_>,
  ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    if self.on_end.is_none() {
      return Poll::Ready(None);
    }
    match Pin::new(&mut self.body).poll_frame(cx) {
      Poll::Ready(Some(Ok(frame))) => {
        if self.body.is_end_stream() {
          self.end(BodyEnd::Complete);
        }
        Poll::Ready(Some(Ok(frame)))
      }
      Poll::Ready(Some(Err(error))) => {
        self.end(BodyEnd::Failed(error));
        Poll::Ready(Some(Err(error)))
      }
      Poll::Ready(None) => {
        self.end(BodyEnd::Complete);
        Poll::Ready(None)
      }
      Poll::Pending => {
        if self.poll_deadline(cx).is_pending() {
          return Poll::Pending;
        }
        self.end(BodyEnd::Failed(BodyError::Deadline));
        Poll::Ready(Some(Err(BodyError::Deadline)))
      }
    }
  }

  fn is_end_stream(&self) -> bool {
    self.body.is_end_stream()
  }

  fn size_hint(&self) -> SizeHint {
    self.body.size_hint()
  }
}

impl<F: FnOnce(BodyEnd) + Send + Unpin + 'static> Drop for TrackedBody<F> {
  fn drop(&mut self) {
    self.end(BodyEnd::Dropped);
  }
}
