use std::{
  net::{IpAddr, Ipv4Addr, SocketAddr},
  process,
  sync::atomic::{AtomicU8, Ordering},
};

/// Nodes in one /24: the first and the last address are left out.
const NODES: u16 = 254;

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
    Self::for_nodes(NODES)
  }
}

impl Addresses {
  /// Addresses of up to `nodes` nodes, as many /24s as they need.
  pub fn for_nodes(nodes: u16) -> Self {
    let networks = nodes.div_ceil(NODES).max(1) as u8;
    Self {
      process: (process::id() % 240 + 10) as u8,
      test: NEXT.fetch_add(networks, Ordering::Relaxed),
    }
  }

  /// Address of a node, by its number from 1.
  pub fn node(&self, number: impl Into<u16>) -> IpAddr {
    let index = number.into() - 1;
    let network = self.test.wrapping_add((index / NODES) as u8);
    let host = (index % NODES) as u8 + 1;
    IpAddr::V4(Ipv4Addr::new(127, self.process, network, host))
  }

  /// Address and port of one listener of a node.
  pub fn listener(&self, number: impl Into<u16>, port: u16) -> SocketAddr {
    SocketAddr::new(self.node(number), port)
  }
}
