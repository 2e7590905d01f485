use {
  super::{Faults, Outage},
  std::{net::SocketAddr, sync::Arc},
};

/// Further address of the stand-in, with an outage of its own: a node that uses it can be refused
/// while others are served.
#[derive(Debug)]
pub struct Entry {
  pub(super) address: SocketAddr,
  pub(super) faults: Arc<Faults>,
}

impl Entry {
  /// Listening address.
  pub const fn address(&self) -> SocketAddr {
    self.address
  }

  /// Starts or ends an outage for the users of this address, also for open connections and waiting
  /// watches.
  pub fn set_outage(&self, outage: Outage) {
    self.faults.set_outage(outage);
  }
}

/// What the stand-in knows of a connection.
#[derive(Debug)]
pub(super) struct Connection {
  /// Generation of [`Faults::silence_connections`] in which it was opened.
  pub(super) generation: u64,
  /// Faults of the address that it was opened to.
  pub(super) entry: Arc<Faults>,
}
