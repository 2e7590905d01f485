use {
  crate::upstream::HASH_HEADER,
  bytes::{Bytes, BytesMut},
  http::{HeaderMap, Response, StatusCode},
  http_body::Body,
  http_body_util::BodyExt,
  xxhash_rust::xxh3::Xxh3Default,
};

/// Bytes of a body that are stored; the rest is only counted and hashed.
const MAX_KEPT: usize = 64 * 1024;

/// Response read to its end.
#[derive(Clone, Debug)]
pub struct ReceivedResponse {
  /// HTTP status.
  pub status: StatusCode,
  /// HTTP headers.
  pub headers: HeaderMap,
  /// Trailers; empty when there were none.
  pub trailers: HeaderMap,
  /// Length of the body.
  pub length: u64,
  /// XXH3 of the body.
  pub hash: u64,
  /// First 64 KiB of the body.
  pub body: Bytes,
}

impl ReceivedResponse {
  pub(crate) async fn read<B>(response: Response<B>) -> Result<Self, B::Error>
  where
    B: Body<Data = Bytes> + Unpin,
  {
    let (parts, mut body) = response.into_parts();
    let mut hasher = Xxh3Default::new();
    let mut kept = BytesMut::new();
    let mut length = 0;
    let mut trailers = HeaderMap::new();
    while let Some(frame) = body.frame().await {
      match frame?.into_data() {
        Ok(data) => {
          hasher.update(&data);
          length += data.len() as u64;
          let room = MAX_KEPT.saturating_sub(kept.len()).min(data.len());
          kept.extend_from_slice(&data[..room]);
        }
        Err(frame) => trailers.extend(frame.into_trailers().unwrap_or_default()),
      }
    }
    Ok(Self {
      status: parts.status,
      headers: parts.headers,
      trailers,
      length,
      hash: hasher.digest(),
      body: kept.freeze(),
    })
  }

  /// The body as text.
  pub fn text(&self) -> &str {
    std::str::from_utf8(&self.body).unwrap_or("not UTF-8")
  }

  /// Header as text; empty when absent.
  pub fn header(&self, name: &str) -> &str {
    let value = self.headers.get(name);
    value
      .and_then(|value| value.to_str().ok())
      .unwrap_or_default()
  }

  /// False when the sender added a hash that does not match the body.
  pub fn is_intact(&self) -> bool {
    let sent = self
      .trailers
      .get(HASH_HEADER)
      .or_else(|| self.headers.get(HASH_HEADER));
    sent.is_none_or(|sent| sent.as_bytes() == format!("{:016x}", self.hash).as_bytes())
  }
}
