use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Counters of the membership of one node.
#[derive(Debug, Default)]
pub struct MembershipStats {
  pub(crate) bytes_in: AtomicU64,
  pub(crate) bytes_out: AtomicU64,
}

impl MembershipStats {
  /// Bytes received in datagrams, without UDP and IP headers.
  pub fn bytes_in(&self) -> u64 {
    self.bytes_in.load(Relaxed)
  }

  /// Bytes sent in datagrams, without UDP and IP headers.
  pub fn bytes_out(&self) -> u64 {
    self.bytes_out.load(Relaxed)
  }
}
