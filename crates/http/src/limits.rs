use {crate::HeaderNames, cactusyoke_model::ByteSize, std::time::Duration};

/// Limits of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
  /// Open connections; further ones are answered with 429.
  pub connections: usize,
  /// Request line and headers of one request, bytes.
  pub header_bytes: usize,
  /// Headers of one request.
  pub headers: usize,
  /// Body of one request.
  pub body: ByteSize,
  /// Time that a caller may take to send a request head, or to make progress with a body.
  pub idle: Duration,
  /// Names of the headers that it reads.
  pub names: &'static HeaderNames,
}

impl Default for Limits {
  fn default() -> Self {
    Self {
      connections: 4096,
      header_bytes: 32 * 1024,
      headers: 100,
      body: ByteSize(1 << 30),
      idle: Duration::from_secs(30),
      names: HeaderNames::native(),
    }
  }
}
