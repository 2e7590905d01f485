use {
  crate::{AnswerPart, CallTimer, Expiry, LostConnection, PooledConnection},
  bytes::Bytes,
  cactusyoke_model::{BodyError, RequestId, SpanId},
  http_body::{Body, Frame, SizeHint},
  hyper::body::Incoming,
  std::{
    pin::Pin,
    task::{Context, Poll, ready},
  },
};

/// Body of an answer. Returns its connection to the pool when it has been read to its end, and
/// closes it when dropped before.
#[derive(Debug)]
pub(crate) struct AnswerBody {
  inner: Incoming,
  timer: CallTimer,
  connection: Option<PooledConnection>,
  root: RequestId,
  span: SpanId,
}

impl AnswerBody {
  pub(crate) fn new(
    inner: Incoming,
    timer: CallTimer,
    connection: PooledConnection,
    root: RequestId,
    span: SpanId,
  ) -> Self {
    let mut this = Self {
      inner,
      timer,
      connection: Some(connection),
      root,
      span,
    };
    if this.inner.is_end_stream() {
      this.finish();
    }
    this
  }

  fn finish(&mut self) {
    if let Some(connection) = self.connection.take() {
      self.timer.record_answer();
      connection.release();
    }
  }

  fn connection_lost(&mut self) -> BodyError {
    let Some(connection) = self.connection.take() else {
      return BodyError::ConnectionLost;
    };
    if connection.state().is_expired() {
      return BodyError::Deadline;
    }
    if let Some(error) = connection.state().body_error() {
      return error;
    }
    (connection.pool().config().on_lost_connection)(LostConnection {
      root: self.root,
      span: self.span,
      part: AnswerPart::Body,
      reused: false,
    });
    BodyError::ConnectionLost
  }
}

impl Body for AnswerBody {
  type Data = Bytes;
  type Error = BodyError;

  fn poll_frame(
    self: Pin<&mut Self>,
    cx: &mut Context<'_>,
  ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    let this = self.get_mut();
    let frame = match Pin::new(&mut this.inner).poll_frame(cx) {
      Poll::Pending => {
        let Some(connection) = &this.connection else {
          return Poll::Pending;
        };
        let expiry = ready!(this.timer.poll_expired(cx, connection.state()));
        this.connection = None;
        return Poll::Ready(Some(Err(match expiry {
          Expiry::Deadline => BodyError::Deadline,
          Expiry::Silence => BodyError::ConnectionLost,
        })));
      }
      Poll::Ready(None) => {
        this.finish();
        return Poll::Ready(None);
      }
      Poll::Ready(Some(Err(error))) => {
        tracing::debug!(%error, "upstream connection lost within an answer");
        return Poll::Ready(Some(Err(this.connection_lost())));
      }
      Poll::Ready(Some(Ok(frame))) => frame,
    };
    this.timer.record_progress();
    if this.inner.is_end_stream() {
      this.finish();
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
