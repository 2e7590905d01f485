use std::time::Duration;

/// Limits of the operator listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperatorLimits {
  /// Open connections.
  pub connections: usize,
  /// Head of a request, bytes; at least 8 KiB.
  pub header_bytes: usize,
  /// Time to receive a head; also the longest idle time of a connection.
  pub header_time: Duration,
  /// Body of a request, bytes.
  pub body_bytes: usize,
  /// Time for one request.
  pub request_time: Duration,
}

impl Default for OperatorLimits {
  fn default() -> Self {
    Self {
      connections: 64,
      header_bytes: 16 << 10,
      header_time: Duration::from_secs(10),
      // The platform takes values up to 1 MB, and a request holds one preset.
      body_bytes: 1 << 20,
      // A change on a slow platform ends within about ten seconds.
      request_time: Duration::from_secs(20),
    }
  }
}
