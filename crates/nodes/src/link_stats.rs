use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Counters of all links of one node.
#[derive(Debug, Default)]
pub struct LinkStats {
  pub(crate) control_in: AtomicU64,
  pub(crate) control_out: AtomicU64,
  pub(crate) bytes_in: AtomicU64,
  pub(crate) bytes_out: AtomicU64,
  pub(crate) links: AtomicU64,
  pub(crate) in_flight: AtomicU64,
  pub(crate) protocol_errors: AtomicU64,
}

impl LinkStats {
  /// Bytes of control frames received: greetings, heartbeats and control messages.
  pub fn control_in(&self) -> u64 {
    self.control_in.load(Relaxed)
  }

  /// Bytes of control frames sent.
  pub fn control_out(&self) -> u64 {
    self.control_out.load(Relaxed)
  }

  /// Bytes received, of all frames.
  pub fn bytes_in(&self) -> u64 {
    self.bytes_in.load(Relaxed)
  }

  /// Bytes sent, of all frames.
  pub fn bytes_out(&self) -> u64 {
    self.bytes_out.load(Relaxed)
  }

  /// Links open now, in both directions.
  pub fn links(&self) -> u64 {
    self.links.load(Relaxed)
  }

  /// Calls and control messages in flight now, in both directions.
  pub fn in_flight(&self) -> u64 {
    self.in_flight.load(Relaxed)
  }

  /// Links closed for a frame that could not be accepted.
  pub fn protocol_errors(&self) -> u64 {
    self.protocol_errors.load(Relaxed)
  }
}
