use std::{
  net::{IpAddr, Ipv4Addr, SocketAddr},
  process,
  sync::atomic::{AtomicU8, Ordering},
};

/// Nodes in one /24 network: its first and last addresses are not used.
const NODES_PER_NETWORK: u16 = 254;

static NEXT_NETWORK: AtomicU8 = AtomicU8::new(1);

/// Loopback addresses of the nodes of one test.
///
/// Each node has its own address in 127.0.0.0/8, so that tests that run at the same time can use
/// the same ports.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
  /// Second octet, from the process id.
  process_octet: u8,
  /// Third octet of the first /24 network.
  first_network: u8,
}

impl Default for Addresses {
  fn default() -> Self {
    Self::for_nodes(NODES_PER_NETWORK)
  }
}

impl Addresses {
  /// Addresses of up to `nodes` nodes, in as many /24 networks as they need.
  pub fn for_nodes(nodes: u16) -> Self {
    let networks = nodes.div_ceil(NODES_PER_NETWORK).max(1) as u8;
    Self {
      process_octet: (process::id() % 240 + 10) as u8,
      first_network: NEXT_NETWORK.fetch_add(networks, Ordering::Relaxed),
    }
  }

  /// Address of a node, by its number from 1.
  pub fn node(&self, number: impl Into<u16>) -> IpAddr {
    let index = number.into() - 1;
    let network = self
      .first_network
      .wrapping_add((index / NODES_PER_NETWORK) as u8);
    let host = (index % NODES_PER_NETWORK) as u8 + 1;
    IpAddr::V4(Ipv4Addr::new(127, self.process_octet, network, host))
  }

  /// Address and port of one listener of a node.
  pub fn listener(&self, number: impl Into<u16>, port: u16) -> SocketAddr {
    SocketAddr::new(self.node(number), port)
  }
}
