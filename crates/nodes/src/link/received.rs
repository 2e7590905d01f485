//! What a stream hands to the receiver of an answer or body.

use {
  bytes::Bytes,
  cactusyoke_model::Report,
  http::{HeaderMap, StatusCode},
};

/// Head of an answer as received.
#[derive(Debug)]
pub struct ReceivedHead {
  /// HTTP status.
  pub status: StatusCode,
  /// Headers.
  pub headers: HeaderMap,
  /// Load and allowance.
  pub report: Report,
}

/// Part of a body as received.
#[derive(Debug)]
pub enum Part {
  /// Bytes, with the credit to report once they are consumed.
  Data(Bytes, u32),
  /// Trailers; the body has ended.
  Trailers(HeaderMap),
  /// The body has ended.
  End,
}
