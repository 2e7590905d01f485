//! Data that a stream passes to the receiver of an answer or body.

use {
  bytes::Bytes,
  cactusyoke_model::Report,
  http::{HeaderMap, StatusCode},
};

/// Head of a received answer.
#[derive(Debug)]
pub struct ReceivedHead {
  pub status: StatusCode,
  pub headers: HeaderMap,
  /// Load and retry allowance reported by the peer.
  pub report: Report,
}

/// Part of a received body.
#[derive(Debug)]
pub enum BodyPart {
  /// Bytes, and the credit to return to the sender now; zero for none.
  Data(Bytes, u32),
  /// Trailers, which end the body.
  Trailers(HeaderMap),
  /// End of the body.
  End,
}
