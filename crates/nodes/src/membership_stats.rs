use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Counters of the membership of one node.
#[derive(Debug, Default)]
pub struct MembershipStats {
  pub(crate) bytes_in: AtomicU64,
  pub(crate) bytes_out: AtomicU64,
}

impl MembershipStats {
  /// Bytes of datagrams received, without their headers.
  pub fn bytes_in(&self) -> u64 {
    self.bytes_in.load(Relaxed)
  }

  /// Bytes of datagrams sent, without their headers.
  pub fn bytes_out(&self) -> u64 {
    self.bytes_out.load(Relaxed)
  }
}
