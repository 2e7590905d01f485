use {
  bytes::Bytes,
  cactusyoke_model::{Body, BodyError},
  http::{HeaderMap, header},
  http_body::{Frame, SizeHint},
  std::{
    pin::Pin,
    task::{Context, Poll, ready},
  },
};

/// Body that is checked against its declared length while it is sent.
///
/// The last bytes of the declared length are held back until the body has ended: an HTTP
/// connection stops reading a body once the length is reached, and would not notice a body that
/// is longer or that ends with an error.
#[derive(Debug)]
pub struct CheckedBody {
  inner: Body,
  /// Bytes of the declared length that have not been read.
  left: Option<u64>,
  /// Chunk that completes the declared length.
  held: Option<Bytes>,
  trailers: Option<HeaderMap>,
  /// The inner body has ended, which not every body tells by `is_end_stream`.
  ended: bool,
}

impl CheckedBody {
  /// Body with a declared length; `None` when none is declared.
  pub const fn new(inner: Body, length: Option<u64>) -> Self {
    Self {
      inner,
      left: length,
      held: None,
      trailers: None,
      ended: false,
    }
  }

  /// Body with the length that `content-length` declares.
  pub fn from_headers(inner: Body, headers: &HeaderMap) -> Self {
    let length = headers
      .get(header::CONTENT_LENGTH)
      .and_then(|value| value.to_str().ok()?.parse().ok());
    Self::new(inner, length)
  }

  /// Yields what was held back until the end, and checks that nothing is missing.
  fn end(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
    self.ended = true;
    if let Some(data) = self.held.take() {
      return Some(Ok(Frame::data(data)));
    }
    if self.left.is_some_and(|left| left > 0) {
      return Some(Err(BodyError::Length));
    }
    let trailers = self.trailers.take()?;
    Some(Ok(Frame::trailers(trailers)))
  }
}

impl http_body::Body for CheckedBody {
  type Data = Bytes;
  type Error = BodyError;

  fn poll_frame(
    self: Pin<&mut Self>,
    cx: &mut Context<'_>,
  ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    let this = self.get_mut();
    loop {
      if this.ended || this.trailers.is_some() || this.inner.is_end_stream() {
        return Poll::Ready(this.end());
      }
      let frame = match ready!(Pin::new(&mut this.inner).poll_frame(cx)) {
        None => return Poll::Ready(this.end()),
        Some(Err(error)) => return Poll::Ready(Some(Err(error))),
        Some(Ok(frame)) => frame,
      };
      let data = match frame.into_data() {
        Ok(data) => data,
        Err(frame) => {
          this.trailers = frame.into_trailers().ok();
          continue;
        }
      };
      let Some(left) = this.left else {
        return Poll::Ready(Some(Ok(Frame::data(data))));
      };
      if data.is_empty() {
        continue;
      }
      let Some(left) = left.checked_sub(data.len() as u64) else {
        return Poll::Ready(Some(Err(BodyError::Length)));
      };
      this.left = Some(left);
      if left > 0 {
        return Poll::Ready(Some(Ok(Frame::data(data))));
      }
      this.held = Some(data);
    }
  }

  fn is_end_stream(&self) -> bool {
    (self.ended || self.inner.is_end_stream())
      && self.left.is_none_or(|left| left == 0)
      && self.held.is_none()
      && self.trailers.is_none()
  }

  fn size_hint(&self) -> SizeHint {
    let held = self.held.as_ref().map_or(0, Bytes::len) as u64;
    match self.left {
      Some(left) => SizeHint::with_exact(left + held),
      None => self.inner.size_hint(),
    }
  }
}
