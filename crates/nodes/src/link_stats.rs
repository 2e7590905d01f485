use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Counters shared by all links of one node.
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
  /// Bytes received in control frames: handshakes, heartbeats, control messages and the end of the
  /// link.
  pub fn control_in(&self) -> u64 {
    self.control_in.load(Relaxed)
  }

  /// Bytes sent in control frames.
  pub fn control_out(&self) -> u64 {
    self.control_out.load(Relaxed)
  }

  /// Bytes received in frames of all kinds.
  pub fn bytes_in(&self) -> u64 {
    self.bytes_in.load(Relaxed)
  }

  /// Bytes sent in frames of all kinds.
  pub fn bytes_out(&self) -> u64 {
    self.bytes_out.load(Relaxed)
  }

  /// Open links, outgoing and incoming.
  pub fn links(&self) -> u64 {
    self.links.load(Relaxed)
  }

  /// Calls and control messages in flight, outgoing and incoming.
  pub fn in_flight(&self) -> u64 {
    self.in_flight.load(Relaxed)
  }

  /// Links closed because the peer sent an invalid frame.
  pub fn protocol_errors(&self) -> u64 {
    self.protocol_errors.load(Relaxed)
  }
}
