use {
  super::{BodyPart, Link, Stream},
  crate::wire::{Frame, ResetReason},
  bytes::Bytes,
  cactusyoke_model::BodyError,
  http_body::{Frame as BodyFrame, SizeHint},
  std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Instant,
  },
  tokio::time::{Sleep, sleep_until},
};

/// Body received over a link.
#[derive(Debug)]
pub struct LinkBody {
  link: Arc<Link>,
  stream: Arc<Stream>,
  /// Set only for answers: this side ends their body at the deadline, and resets the call when the
  /// body is dropped early.
  deadline: Option<Instant>,
  sleep: Option<Pin<Box<Sleep>>>,
  done: bool,
}

impl LinkBody {
  /// Body of a request, whose sender enforces the deadline.
  pub fn request(link: Arc<Link>, stream: Arc<Stream>) -> Self {
    Self {
      link,
      stream,
      deadline: None,
      sleep: None,
      done: false,
    }
  }

  /// Body of an answer.
  pub fn answer(link: Arc<Link>, stream: Arc<Stream>, deadline: Instant) -> Self {
    let mut body = Self::request(link, stream);
    body.deadline = Some(deadline);
    body
  }

  /// Ready with an error once the deadline has passed.
  fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<BodyError> {
    let Some(deadline) = self.deadline else {
      return Poll::Pending;
    };
    let sleep = self
      .sleep
      .get_or_insert_with(|| Box::pin(sleep_until(deadline.into())));
    ready!(sleep.as_mut().poll(cx));
    self.link.reset(&self.stream, ResetReason::Deadline);
    Poll::Ready(BodyError::Deadline)
  }
}

impl http_body::Body for LinkBody {
  type Data = Bytes;
  type Error = BodyError;

  fn poll_frame(
    mut self: Pin<&mut Self>,
    cx: &mut Context<'_>,
  ) -> Poll<Option<Result<BodyFrame<Bytes>, BodyError>>> {
    if self.done {
      return Poll::Ready(None);
    }
    let part = match self.stream.poll_part(cx) {
      Poll::Ready(part) => part,
      Poll::Pending => Err(ready!(self.poll_deadline(cx))),
    };
    match part {
      Ok(BodyPart::Data(bytes, credit)) => {
        if credit > 0 {
          let stream = self.stream.id;
          self.link.push(&Frame::Credit {
            stream,
            bytes: credit,
          });
        }
        Poll::Ready(Some(Ok(BodyFrame::data(bytes))))
      }
      Ok(BodyPart::Trailers(trailers)) => {
        self.done = true;
        Poll::Ready(Some(Ok(BodyFrame::trailers(trailers))))
      }
      Ok(BodyPart::End) => {
        self.done = true;
        Poll::Ready(None)
      }
      Err(error) => {
        self.done = true;
        Poll::Ready(Some(Err(error)))
      }
    }
  }

  fn is_end_stream(&self) -> bool {
    self.done || self.stream.is_consumed()
  }

  fn size_hint(&self) -> SizeHint {
    self
      .stream
      .remaining_len()
      .map_or_else(SizeHint::default, SizeHint::with_exact)
  }
}

impl Drop for LinkBody {
  fn drop(&mut self) {
    if self.deadline.is_some() && !self.done {
      self.link.reset(&self.stream, ResetReason::Cancelled);
    }
  }
}
