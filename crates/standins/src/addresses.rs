use std::{
  net::{IpAddr, Ipv4Addr, SocketAddr},
  process,
  sync::atomic::{AtomicU8, Ordering},
};

static NEXT: AtomicU8 = AtomicU8::new(1);

/// Loopback addresses of the nodes of one test.
///
/// Each node has an address of its own in 127.0.0.0/8, so that ports need not be reserved and
/// tests that run at the same time do not collide.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
  process: u8,
  test: u8,
}

impl Default for Addresses {
  fn default() -> Self {
    Self {
      process: (process::id() % 240 + 10) as u8,
      test: NEXT.fetch_add(1, Ordering::Relaxed),
    }
  }
}

impl Addresses {
  /// Address of a node, by its number from 1.
  pub fn node(&self, number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, self.process, self.test, number))
  }

  /// Address and port of one listener of a node.
  pub fn listener(&self, number: u8, port: u16) -> SocketAddr {
    SocketAddr::new(self.node(number), port)
  }
}
