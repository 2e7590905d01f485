use {
  super::{BulkPart, Link, Stream},
  crate::wire::{MAX_DATA, MAX_FRAME, MAX_HEADERS},
  bytes::Bytes,
  cactusyoke_model::{Body, BodyError},
  http::HeaderMap,
  http_body::Body as _,
  std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
  },
};

/// How the sending of a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
  /// The complete body was queued.
  Complete,
  /// The peer does not need the rest of the body.
  Stopped,
  /// Reading the body failed, or its trailers do not fit a frame.
  Failed(BodyError),
}

/// Sends a body as far as flow-control credit allows.
#[derive(Debug)]
pub struct BodySender {
  link: Arc<Link>,
  stream: Arc<Stream>,
  body: Body,
  /// Bytes read from the body but not yet queued.
  pending: Bytes,
  /// `pending` waits for credit or for room in the outbox.
  waits: bool,
}

impl BodySender {
  /// Sender of a body that has not reached its end.
  pub fn new(link: Arc<Link>, stream: Arc<Stream>, body: Body) -> Self {
    Self {
      link,
      stream,
      body,
      pending: Bytes::new(),
      waits: false,
    }
  }

  fn end(&self, trailers: Option<HeaderMap>) -> SendResult {
    if !trailers.as_ref().is_none_or(trailers_fit) {
      return SendResult::Failed(BodyError::Length);
    }
    match self
      .link
      .outbox
      .push_bulk(BulkPart::End(Arc::clone(&self.stream), trailers))
    {
      Ok(()) => SendResult::Complete,
      Err(_error) => SendResult::Failed(BodyError::Length),
    }
  }

  /// Bytes of `pending` that may be queued now; `None` when sending must stop.
  fn poll_granted(&mut self, cx: &mut Context<'_>) -> Poll<Option<usize>> {
    let wanted = self.pending.len().min(MAX_DATA);
    let granted = match self.link.outbox.poll_space(cx) {
      Poll::Ready(()) => self.stream.poll_credit(cx, wanted),
      Poll::Pending => Poll::Pending,
    };
    let waits = granted.is_pending();
    if waits != self.waits {
      self.waits = waits;
      let unsent = if waits { self.pending.len() } else { 0 };
      self.stream.record_unsent(unsent);
    }
    granted
  }

  /// Sends until the body ends, or waits for credit, for room in the outbox or for more data.
  pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<SendResult> {
    loop {
      while !self.pending.is_empty() {
        let Some(granted) = ready!(self.poll_granted(cx)) else {
          return Poll::Ready(SendResult::Stopped);
        };
        let chunk = self.pending.split_to(granted);
        let part = BulkPart::Data(Arc::clone(&self.stream), chunk);
        if self.link.outbox.push_bulk(part).is_err() {
          return Poll::Ready(SendResult::Failed(BodyError::Length));
        }
      }
      if self.body.is_end_stream() {
        return Poll::Ready(self.end(None));
      }
      if self.stream.poll_stopped(cx) {
        return Poll::Ready(SendResult::Stopped);
      }
      let Some(frame) = ready!(Pin::new(&mut self.body).poll_frame(cx)) else {
        return Poll::Ready(self.end(None));
      };
      let frame = match frame {
        Ok(frame) => frame,
        Err(error) => return Poll::Ready(SendResult::Failed(error)),
      };
      match frame.into_data() {
        Ok(bytes) => self.pending = bytes,
        Err(frame) => {
          if let Ok(trailers) = frame.into_trailers() {
            return Poll::Ready(self.end(Some(trailers)));
          }
        }
      }
    }
  }
}

/// True when the trailers fit in one frame, with room for the length prefixes of the fields.
fn trailers_fit(trailers: &HeaderMap) -> bool {
  let bytes = trailers
    .iter()
    .map(|(name, value)| name.as_str().len() + value.len() + 6)
    .sum::<usize>();
  trailers.len() <= MAX_HEADERS && bytes < MAX_FRAME - 64
}
