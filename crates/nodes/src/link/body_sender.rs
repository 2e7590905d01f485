use {
  super::{Bulk, Link, Stream},
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
pub enum Sent {
  /// The whole body was queued.
  Whole,
  /// The peer wants no more of it.
  Stopped,
  /// The body itself failed.
  Failed(BodyError),
}

/// Sends a body as its credit allows.
#[derive(Debug)]
pub struct BodySender {
  link: Arc<Link>,
  stream: Arc<Stream>,
  body: Body,
  pending: Bytes,
}

impl BodySender {
  /// Sender of a body that has not ended.
  pub fn new(link: Arc<Link>, stream: Arc<Stream>, body: Body) -> Self {
    Self {
      link,
      stream,
      body,
      pending: Bytes::new(),
    }
  }

  fn end(&self, trailers: Option<HeaderMap>) -> Sent {
    if !trailers.as_ref().is_none_or(fits) {
      return Sent::Failed(BodyError::Length);
    }
    match self
      .link
      .outbox
      .push_bulk(Bulk::End(Arc::clone(&self.stream), trailers))
    {
      Ok(()) => Sent::Whole,
      Err(_error) => Sent::Failed(BodyError::Length),
    }
  }

  /// Sends until the body has ended, or nothing can be sent now.
  pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Sent> {
    loop {
      while !self.pending.is_empty() {
        ready!(self.link.outbox.poll_space(cx));
        let wanted = self.pending.len().min(MAX_DATA);
        let Some(granted) = ready!(self.stream.poll_credit(cx, wanted)) else {
          return Poll::Ready(Sent::Stopped);
        };
        let piece = self.pending.split_to(granted);
        let part = Bulk::Data(Arc::clone(&self.stream), piece);
        if self.link.outbox.push_bulk(part).is_err() {
          return Poll::Ready(Sent::Failed(BodyError::Length));
        }
      }
      if self.body.is_end_stream() {
        return Poll::Ready(self.end(None));
      }
      if self.stream.poll_stopped(cx) {
        return Poll::Ready(Sent::Stopped);
      }
      let Some(frame) = ready!(Pin::new(&mut self.body).poll_frame(cx)) else {
        return Poll::Ready(self.end(None));
      };
      let frame = match frame {
        Ok(frame) => frame,
        Err(error) => return Poll::Ready(Sent::Failed(error)),
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

/// True when the trailers fit a frame, with room for the lengths of the fields.
fn fits(trailers: &HeaderMap) -> bool {
  let bytes = trailers
    .iter()
    .map(|(name, value)| name.as_str().len() + value.len() + 6)
    .sum::<usize>();
  trailers.len() <= MAX_HEADERS && bytes < MAX_FRAME - 64
}
