//! Bodies that are buffered when they are small: requests to send them again, answers to check that
//! they are complete.

use {
  bytes::Bytes,
  cactusyoke_model::{Body, BodyError},
  http::HeaderMap,
  http_body::{Body as _, Frame, SizeHint},
  http_body_util::BodyExt,
  std::{
    collections::VecDeque,
    pin::Pin,
    task::{Context, Poll},
  },
};

/// Maximum size of a body that is held in memory.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Largest first frame that is copied when more of the body follows, bytes. Without the copy, a short
/// frame would keep the whole read buffer of its connection allocated until the next one arrives.
const MAX_COPIED_FRAME: usize = 4 << 10;

/// Body, held in memory when it is small.
#[derive(Debug)]
pub(crate) struct BufferedBody {
  prefix: Bytes,
  trailers: Option<HeaderMap>,
  rest: Rest,
}

#[derive(Debug)]
enum Rest {
  /// Nothing: the whole body is held in memory.
  Empty,
  Stream(Body),
  /// The stream was handed out.
  Sent,
}

impl BufferedBody {
  /// Reads the first bytes of a body; the whole of it when it is small, and none of it when its
  /// declared length is over the limit.
  pub(crate) async fn read(body: Body) -> Result<Self, BodyError> {
    if body.size_hint().lower() > MAX_BUFFERED_BYTES as u64 {
      return Ok(Self {
        prefix: Bytes::new(),
        trailers: None,
        rest: Rest::Stream(body),
      });
    }
    Self::read_start(body).await
  }

  /// Reads the first bytes of a body, whatever its length.
  pub(crate) async fn read_start(mut body: Body) -> Result<Self, BodyError> {
    if body.is_end_stream() {
      return Ok(Self {
        prefix: Bytes::new(),
        trailers: None,
        rest: Rest::Empty,
      });
    }
    let mut first = Bytes::new();
    let mut prefix = Vec::new();
    while let Some(frame) = body.frame().await {
      match frame?.into_data() {
        Ok(data) if first.is_empty() && prefix.is_empty() => {
          if data.len() > MAX_COPIED_FRAME || body.is_end_stream() {
            first = data;
          } else {
            append(&mut prefix, &data);
          }
        }
        Ok(data) => {
          if prefix.is_empty() {
            append(&mut prefix, &std::mem::take(&mut first));
          }
          append(&mut prefix, &data);
        }
        Err(frame) => {
          let trailers = frame.into_trailers().ok();
          return Ok(Self {
            prefix: joined_prefix(first, prefix),
            trailers,
            rest: Rest::Empty,
          });
        }
      }
      if prefix.len().max(first.len()) > MAX_BUFFERED_BYTES {
        let rest = Rest::Stream(body);
        return Ok(Self {
          prefix: joined_prefix(first, prefix),
          trailers: None,
          rest,
        });
      }
    }
    Ok(Self {
      prefix: joined_prefix(first, prefix),
      trailers: None,
      rest: Rest::Empty,
    })
  }

  /// True when the body can be sent again.
  pub(crate) fn repeatable(&self) -> bool {
    matches!(self.rest, Rest::Empty)
  }

  /// First 64 KiB of the body, as far as they were read; the same for each copy of the body,
  /// however it is divided into frames.
  pub(crate) fn start(&self) -> &[u8] {
    &self.prefix[..self.prefix.len().min(MAX_BUFFERED_BYTES)]
  }

  /// Body for the next attempt; `None` when an earlier one has taken its stream.
  pub(crate) fn body(&mut self) -> Option<Body> {
    let rest = match std::mem::replace(&mut self.rest, Rest::Sent) {
      Rest::Empty => {
        self.rest = Rest::Empty;
        None
      }
      Rest::Stream(body) => Some(body),
      Rest::Sent => return None,
    };
    let mut frames = VecDeque::with_capacity(2);
    if !self.prefix.is_empty() {
      frames.push_back(Frame::data(self.prefix.clone()));
    }
    if let Some(trailers) = &self.trailers {
      frames.push_back(Frame::trailers(trailers.clone()));
    }
    Some(JoinedBody { frames, rest }.boxed_unsync())
  }
}

/// Appends to a buffer that doubles its capacity up to [`MAX_BUFFERED_BYTES`] and then grows by what
/// is needed.
fn append(prefix: &mut Vec<u8>, data: &[u8]) {
  let needed = prefix.len() + data.len();
  if needed > prefix.capacity() {
    let doubled = (prefix.capacity() * 2).min(MAX_BUFFERED_BYTES);
    prefix.reserve_exact(needed.max(doubled) - prefix.len());
  }
  prefix.extend_from_slice(data);
}

fn joined_prefix(first: Bytes, prefix: Vec<u8>) -> Bytes {
  if prefix.is_empty() {
    first
  } else {
    prefix.into()
  }
}

/// Bytes and trailers in memory, followed by the rest of the stream.
struct JoinedBody {
  frames: VecDeque<Frame<Bytes>>,
  rest: Option<Body>,
}

impl http_body::Body for JoinedBody {
  type Data = Bytes;
  type Error = BodyError;

  fn poll_frame(
    mut self: Pin<&mut Self>,
    cx: &mut Context<'_>,
  ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    if let Some(frame) = self.frames.pop_front() {
      return Poll::Ready(Some(Ok(frame)));
    }
    match &mut self.rest {
      Some(rest) => Pin::new(rest).poll_frame(cx),
      None => Poll::Ready(None),
    }
  }

  fn is_end_stream(&self) -> bool {
    self.frames.is_empty() && self.rest.as_ref().is_none_or(Body::is_end_stream)
  }

  fn size_hint(&self) -> SizeHint {
    let buffered = self
      .frames
      .iter()
      .filter_map(Frame::data_ref)
      .map(|data| data.len() as u64)
      .sum::<u64>();
    let Some(rest) = &self.rest else {
      return SizeHint::with_exact(buffered);
    };
    let mut hint = SizeHint::new();
    hint.set_lower(buffered + rest.size_hint().lower());
    if let Some(upper) = rest.size_hint().upper() {
      hint.set_upper(buffered + upper);
    }
    hint
  }
}
