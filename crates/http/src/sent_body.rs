use {
  crate::{CheckedBody, ConnectionMemory},
  bytes::Bytes,
  cactusyoke_model::BodyError,
  http_body::{Body, Frame, SizeHint},
  std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
  },
};

/// Body of an answer that counts what the connection has yet to write of it.
#[derive(Debug)]
pub(crate) struct SentBody {
  inner: CheckedBody,
  /// `None` for a connection whose memory is not counted.
  memory: Option<Arc<ConnectionMemory>>,
}

impl SentBody {
  pub(crate) const fn new(inner: CheckedBody, memory: Option<Arc<ConnectionMemory>>) -> Self {
    Self { inner, memory }
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
    let frame = ready!(Pin::new(&mut this.inner).poll_frame(cx));
    if let (Some(memory), Some(Ok(frame))) = (&this.memory, &frame)
      && let Some(data) = frame.data_ref()
    {
      memory.record_answer(data.len());
    }
    Poll::Ready(frame)
  }

  fn is_end_stream(&self) -> bool {
    self.inner.is_end_stream()
  }

  fn size_hint(&self) -> SizeHint {
    self.inner.size_hint()
  }
}

impl Drop for SentBody {
  fn drop(&mut self) {
    if let Some(memory) = &self.memory {
      memory.end_answer();
    }
  }
}
