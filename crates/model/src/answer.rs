//! Answers of upstreams.

use {
  crate::{Body, Report},
  http::{HeaderMap, StatusCode},
  std::fmt,
};

/// Answer of an upstream with its streaming body.
pub struct Answer {
  /// HTTP status.
  pub status: StatusCode,
  /// HTTP headers without hop-by-hop headers.
  pub headers: HeaderMap,
  /// Load and unused retries reported by the hops below.
  pub report: Report,
  /// Body.
  pub body: Body,
}

impl fmt::Debug for Answer {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.debug_struct("Answer")
      .field("status", &self.status)
      .field("report", &self.report)
      .finish_non_exhaustive()
  }
}
