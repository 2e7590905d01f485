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

/// Request body that records its progress, and why it ended, in [`ConnectionState`].
#[derive(Debug)]
pub(crate) struct RequestBody {
  inner: CheckedBody,
  state: Arc<ConnectionState>,
}

impl RequestBody {
  pub(crate) fn new(inner: CheckedBody, state: Arc<ConnectionState>) -> Self {
    // hyper never polls an empty body.
    if inner.is_end_stream() || inner.size_hint().exact() == Some(0) {
      state.set_body_sent();
    }
    Self { inner, state }
  }

  /// Original body, to be sent on another connection.
  pub(crate) fn into_inner(self) -> CheckedBody {
    self.inner
  }
}

impl Body for RequestBody {
  type Data = Bytes;
  type Error = BodyError;

  fn poll_frame(
    self: Pin<&mut Self>,
    cx: &mut Context<'_>,
  ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    let this = self.get_mut();
    let result = Pin::new(&mut this.inner).poll_frame(cx);
    match &result {
      Poll::Pending => this.state.set_body_waiting(true),
      Poll::Ready(None) => this.state.set_body_sent(),
      Poll::Ready(Some(Err(error))) => this.state.set_body_error(*error),
      Poll::Ready(Some(Ok(_frame))) if this.inner.is_end_stream() => this.state.set_body_sent(),
      Poll::Ready(Some(Ok(_frame))) => this.state.set_body_waiting(false),
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
