//! Streaming bodies of requests and responses.

use {
  bytes::Bytes,
  http_body_util::{BodyExt, Empty, Full, combinators::UnsyncBoxBody},
  std::fmt::{self, Display, Formatter},
};

/// Streaming body with optional trailers, the same type in all packages.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Reason why a body ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
  /// The sender's connection was lost.
  ConnectionLost,
  /// The deadline of the call passed.
  Deadline,
  /// The receiver or an earlier hop cancelled the call.
  Cancelled,
  /// The body exceeds the size limit, or its length differs from the announced one.
  Length,
}

impl Display for BodyError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    f.write_str(match self {
      Self::ConnectionLost => "the body was cut off: its sender's connection was lost",
      Self::Deadline => "the body was cut off: the deadline of the call passed",
      Self::Cancelled => "the body was cut off: the call was cancelled",
      Self::Length => "the body does not have the length that was announced or allowed",
    })
  }
}

impl std::error::Error for BodyError {}

/// Empty body.
pub fn empty_body() -> Body {
  Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Body of bytes that are already in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
  Full::new(bytes.into())
    .map_err(|never| match never {})
    .boxed_unsync()
}
