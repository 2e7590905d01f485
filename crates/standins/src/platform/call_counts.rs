use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Calls received, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
  /// Reads of keys and ranges.
  pub gets: u64,
  /// Writes, successful or not.
  pub puts: u64,
  /// Watches.
  pub watches: u64,
  /// Requests to grant, renew or end a lease.
  pub leases: u64,
  /// Calls refused for lack of quota.
  pub refused: u64,
  /// Connections accepted.
  pub connections: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Counters {
  pub(crate) gets: AtomicU64,
  pub(crate) puts: AtomicU64,
  pub(crate) watches: AtomicU64,
  pub(crate) leases: AtomicU64,
  pub(crate) refused: AtomicU64,
  pub(crate) connections: AtomicU64,
}

impl Counters {
  pub(crate) fn snapshot(&self) -> CallCounts {
    CallCounts {
      gets: self.gets.load(Relaxed),
      puts: self.puts.load(Relaxed),
      watches: self.watches.load(Relaxed),
      leases: self.leases.load(Relaxed),
      refused: self.refused.load(Relaxed),
      connections: self.connections.load(Relaxed),
    }
  }
}
