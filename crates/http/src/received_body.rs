use {
  crate::{Leftover, Stall},
  bytes::Bytes,
  cactusyoke_model::{BodyError, ByteSize},
  http_body::{Body, Frame, SizeHint},
  hyper::body::Incoming,
  std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
  },
};

/// Body of a received message, bounded in size and in the time that its sender may stall.
#[derive(Debug)]
pub struct ReceivedBody {
  /// `None` only while it is dropped.
  inner: Option<Incoming>,
  left: u64,
  stall: Stall,
  leftover: Option<Leftover>,
}

impl ReceivedBody {
  /// Body of at most `limit` bytes whose sender may stall for `idle`.
  pub const fn new(inner: Incoming, limit: ByteSize, idle: Duration) -> Self {
    Self {
      inner: Some(inner),
      left: limit.0,
      stall: Stall::new(idle),
      leftover: None,
    }
  }

  /// Keeps what is not read when the body is dropped.
  pub(crate) fn keep_rest(mut self, leftover: Option<Leftover>) -> Self {
    self.leftover = leftover;
    self
  }
}

impl Drop for ReceivedBody {
  fn drop(&mut self) {
    if let (Some(leftover), Some(inner)) = (&self.leftover, self.inner.take())
      && !inner.is_end_stream()
    {
      leftover.put(inner);
    }
  }
}

impl Body for ReceivedBody {
  type Data = Bytes;
  type Error = BodyError;

  fn poll_frame(
    self: Pin<&mut Self>,
    cx: &mut Context<'_>,
  ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    let this = self.get_mut();
    let Some(inner) = &mut this.inner else {
      return Poll::Ready(None);
    };
    let frame = match Pin::new(inner).poll_frame(cx) {
      Poll::Pending => {
        ready!(this.stall.poll_expired(cx));
        return Poll::Ready(Some(Err(BodyError::Cut)));
      }
      Poll::Ready(None) => return Poll::Ready(None),
      Poll::Ready(Some(Err(_error))) => return Poll::Ready(Some(Err(BodyError::Cut))),
      Poll::Ready(Some(Ok(frame))) => frame,
    };
    if let Some(data) = frame.data_ref() {
      this.stall.progress(data.len());
      let Some(left) = this.left.checked_sub(data.len() as u64) else {
        return Poll::Ready(Some(Err(BodyError::Length)));
      };
      this.left = left;
    }
    Poll::Ready(Some(Ok(frame)))
  }

  fn is_end_stream(&self) -> bool {
    self.inner.as_ref().is_none_or(Incoming::is_end_stream)
  }

  fn size_hint(&self) -> SizeHint {
    self
      .inner
      .as_ref()
      .map_or_else(SizeHint::new, Incoming::size_hint)
  }
}
