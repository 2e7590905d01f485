use {
  crate::{ConnectionMemory, StallTimer},
  bytes::Bytes,
  cactusyoke_model::{BodyError, ByteSize},
  http_body::{Body, Frame, SizeHint},
  hyper::body::Incoming,
  std::{
    pin::Pin,
    sync::{
      Arc,
      atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
  },
};

/// Body of a received message, bounded in size and in the time that its sender may stall.
#[derive(Debug)]
pub(crate) struct ReceivedBody {
  inner: Incoming,
  /// Bytes that may still follow.
  left: u64,
  stall_timer: StallTimer,
  /// True until the body has been read completely.
  unread: Arc<AtomicBool>,
  memory: Arc<ConnectionMemory>,
}

impl ReceivedBody {
  /// Body of at most `limit` bytes whose sender may stall for `idle`.
  pub(crate) const fn new(
    inner: Incoming,
    limit: ByteSize,
    idle: Duration,
    unread: Arc<AtomicBool>,
    memory: Arc<ConnectionMemory>,
  ) -> Self {
    Self {
      inner,
      left: limit.0,
      stall_timer: StallTimer::new(idle),
      unread,
      memory,
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
    let frame = match Pin::new(&mut this.inner).poll_frame(cx) {
      Poll::Pending => {
        this.memory.set_owing(true);
        ready!(this.stall_timer.poll_expired(cx));
        return Poll::Ready(Some(Err(BodyError::ConnectionLost)));
      }
      Poll::Ready(None) => {
        this.memory.set_owing(false);
        this.unread.store(false, Ordering::Relaxed);
        return Poll::Ready(None);
      }
      Poll::Ready(Some(Err(_error))) => return Poll::Ready(Some(Err(BodyError::ConnectionLost))),
      Poll::Ready(Some(Ok(frame))) => frame,
    };
    this.memory.set_owing(false);
    if let Some(data) = frame.data_ref() {
      this.memory.record_body(data.len());
      this.stall_timer.record_transfer(data.len());
      let Some(left) = this.left.checked_sub(data.len() as u64) else {
        return Poll::Ready(Some(Err(BodyError::Length)));
      };
      this.left = left;
    }
    if this.inner.is_end_stream() {
      this.unread.store(false, Ordering::Relaxed);
    }
    Poll::Ready(Some(Ok(frame)))
  }

  fn is_end_stream(&self) -> bool {
    self.inner.is_end_stream()
  }

  fn size_hint(&self) -> SizeHint {
    self.inner.size_hint()
  }
}
