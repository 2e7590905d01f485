use {
  crate::ConnectionState,
  bytes::Bytes,
  cactusyoke_http::CheckedBody,
  cactusyoke_model::BodyError,
  http_body::{Body, Frame, SizeHint},
  std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
  },
};

/// Request body on its way to the upstream; records why it ended.
#[derive(Debug)]
pub(crate) struct SentBody {
  inner: CheckedBody,
  state: Arc<ConnectionState>,
}

impl SentBody {
  pub(crate) fn new(inner: CheckedBody, state: Arc<ConnectionState>) -> Self {
    // Such a body is never polled.
    if inner.is_end_stream() || inner.size_hint().exact() == Some(0) {
      state.body_sent();
    }
    Self { inner, state }
  }

  /// The body, for another connection.
  pub(crate) fn into_inner(self) -> CheckedBody {
    self.inner
  }
}

impl Body for SentBody {
  type Data = Bytes;
  type Error = BodyError;

  fn poll_frame(
    self: Pin<&mut Self>,
    cx: &mut Context<'_>,
  ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    let this = self.get_mut();
    let result = Pin::new(&mut this.inner).poll_frame(cx);
    match &result {
      Poll::Pending => this.state.body_waiting(true),
      Poll::Ready(None) => this.state.body_sent(),
      Poll::Ready(Some(Err(error))) => this.state.body_failed(*error),
      Poll::Ready(Some(Ok(_frame))) if this.inner.is_end_stream() => this.state.body_sent(),
      Poll::Ready(Some(Ok(_frame))) => this.state.body_waiting(false),
    }
    result
  }

  fn is_end_stream(&self) -> bool {
    self.inner.is_end_stream()
  }

  fn size_hint(&self) -> SizeHint {
    self.inner.size_hint()
  }
}
