use {
  cactusyoke_model::{DataCentre, Incarnation, NodeId},
  std::time::Duration,
};

/// Identity and bounds of the links of one node.
#[derive(Clone, Debug)]
pub struct LinksConfig {
  /// Address at which other nodes reach this one.
  pub node: NodeId,
  /// Start time of this node.
  pub incarnation: Incarnation,
  /// Data centre of this node.
  pub data_centre: DataCentre,
  /// Time for the connection and the exchange of greetings.
  pub connect_timeout: Duration,
  /// Time between two heartbeats.
  pub heartbeat_interval: Duration,
  /// Time without a byte after which a link is closed.
  pub receive_timeout: Duration,
  /// Time without a call or a control message after which the opener closes a link.
  pub idle_timeout: Duration,
  /// Credit with which each direction of a call starts, bytes.
  pub window: u32,
  /// Calls and control messages in flight on one link.
  pub max_streams: usize,
  /// Accepted links.
  pub max_links: usize,
}

impl LinksConfig {
  /// The bounds of the design page.
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
    }
  }
}
