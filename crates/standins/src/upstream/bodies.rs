//! Generated bodies whose content can be checked by a hash.

use {
  bytes::Bytes,
  cactusyoke_model::{Body, BodyError},
  futures_util::{StreamExt, stream},
  http::{HeaderMap, HeaderName, HeaderValue},
  http_body::Frame,
  http_body_util::{BodyExt, StreamBody},
  std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
  },
  tokio::time::sleep,
  xxhash_rust::xxh3::Xxh3Default,
};

/// Header or trailer with the hash of the body: XXH3 in hexadecimal.
pub const HASH_HEADER: HeaderName = HeaderName::from_static("x-body-hash");

/// Largest chunk of a generated body, bytes.
const CHUNK_SIZE: u64 = 16 * 1024;

/// Time between the last byte of a truncated body and its error.
const TRUNCATION_PAUSE: Duration = Duration::from_millis(20);

/// Bytes of a generated body from an offset; neighbouring chunks differ.
pub fn pattern(offset: u64, length: usize) -> Bytes {
  (offset..offset + length as u64)
    .map(|position| (position ^ (position >> 8).wrapping_mul(31)) as u8)
    .collect()
}

/// Hash of a generated body of `length` bytes.
pub fn pattern_hash(length: u64) -> u64 {
  let mut hasher = Xxh3Default::new();
  for (offset, size) in chunks(length) {
    hasher.update(&pattern(offset, size));
  }
  hasher.digest()
}

/// Generated body of `length` bytes, with its hash as a trailer.
pub fn pattern_body(length: u64) -> Body {
  let data = chunks(length).map(|(offset, size)| Ok(Frame::data(pattern(offset, size))));
  HashedBody::new(StreamBody::new(stream::iter(data)).boxed_unsync()).boxed_unsync()
}

/// Generated body that ends with an error after `length` bytes.
pub fn truncated_body(length: u64) -> Body {
  let data = chunks(length).map(|(offset, size)| Ok(Frame::data(pattern(offset, size))));
  // The server discards unsent bytes when a body fails; the delay lets it send them first.
  let cut = stream::once(async {
    sleep(TRUNCATION_PAUSE).await;
    Err(BodyError::ConnectionLost)
  });
  StreamBody::new(stream::iter(data).chain(cut)).boxed_unsync()
}

/// Offsets and sizes of the chunks of a generated body.
fn chunks(length: u64) -> impl Iterator<Item = (u64, usize)> + Send + 'static {
  (0..length.div_ceil(CHUNK_SIZE)).map(move |index| {
    let offset = index * CHUNK_SIZE;
    (offset, CHUNK_SIZE.min(length - offset) as usize)
  })
}

/// Value of [`HASH_HEADER`].
pub(crate) fn hash_value(hash: u64) -> HeaderValue {
  HeaderValue::try_from(format!("{hash:016x}")).expect("hexadecimal digits are a header value")
}

/// Body that appends its hash as a trailer.
pub(crate) struct HashedBody {
  inner: Body,
  hasher: Xxh3Default,
  ended: bool,
}

impl HashedBody {
  pub(crate) fn new(inner: Body) -> Self {
    Self {
      inner,
      hasher: Xxh3Default::new(),
      ended: false,
    }
  }
}

impl http_body::Body for HashedBody {
  type Data = Bytes;
  type Error = BodyError;

  fn poll_frame(
    self: Pin<&mut Self>,
    cx: &mut Context<'_>,
  ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    let this = self.get_mut();
    if this.ended {
      return Poll::Ready(None);
    }
    let mut trailers = HeaderMap::new();
    match ready!(Pin::new(&mut this.inner).poll_frame(cx)) {
      Some(Err(error)) => return Poll::Ready(Some(Err(error))),
      Some(Ok(frame)) => match frame.into_data() {
        Ok(data) => {
          this.hasher.update(&data);
          return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        Err(frame) => {
          if let Ok(received) = frame.into_trailers() {
            trailers.extend(received);
          }
        }
      },
      None => {}
    }
    this.ended = true;
    trailers.insert(HASH_HEADER, hash_value(this.hasher.digest()));
    Poll::Ready(Some(Ok(Frame::trailers(trailers))))
  }
}
