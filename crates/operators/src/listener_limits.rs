use std::time::Duration;

/// Bounds of the listener for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerLimits {
  /// Open connections.
  pub connections: usize,
  /// Head of a request, bytes; at least 8 KiB.
  pub header: usize,
  /// Time to send a head; also the longest idle time of a connection.
  pub header_time: Duration,
  /// Body of a request, bytes.
  pub body: usize,
  /// Time for one request.
  pub request: Duration,
}

impl Default for ListenerLimits {
  fn default() -> Self {
    Self {
      connections: 64,
      header: 16 << 10,
      header_time: Duration::from_secs(10),
      // The platform takes values up to 1 MB, and a request holds one preset.
      body: 1 << 20,
      // A change on a slow platform ends within about ten seconds.
      request: Duration::from_secs(20),
    }
  }
}
