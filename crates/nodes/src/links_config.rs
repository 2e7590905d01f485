use {
  cactusyoke_memory::MemoryAccount,
  cactusyoke_model::{DataCentre, Incarnation, NodeId},
  std::{sync::Arc, time::Duration},
};

/// Identity, timeouts and limits of the links of one node.
#[derive(Clone, Debug)]
pub struct LinksConfig {
  /// Address at which other nodes reach this one.
  pub node: NodeId,
  /// Start time of this node, which tells its runs apart.
  pub incarnation: Incarnation,
  /// Data centre of this node.
  pub data_centre: DataCentre,
  /// Time allowed for connecting and the handshake.
  pub connect_timeout: Duration,
  /// Interval between heartbeats.
  pub heartbeat_interval: Duration,
  /// Time without received bytes after which a link is closed.
  pub receive_timeout: Duration,
  /// Time without calls or control messages after which the opener closes a link.
  pub idle_timeout: Duration,
  /// Initial flow-control credit of each direction of a call, bytes.
  pub window: u32,
  /// Most calls and control messages in flight on one link.
  pub max_streams: usize,
  /// Most accepted links that are open at once.
  pub max_links: usize,
  /// Account of what the links hold.
  pub memory: Arc<MemoryAccount>,
}

impl LinksConfig {
  /// Default timeouts and limits.
  pub fn new(node: NodeId, incarnation: Incarnation, data_centre: DataCentre) -> Self {
    Self {
      node,
      incarnation,
      data_centre,
      connect_timeout: Duration::from_secs(1),
      heartbeat_interval: Duration::from_secs(1),
      receive_timeout: Duration::from_secs(3),
      idle_timeout: Duration::from_mins(1),
      window: 256 * 1024,
      max_streams: 4096,
      max_links: 4096,
      memory: Arc::default(),
    }
  }
}
