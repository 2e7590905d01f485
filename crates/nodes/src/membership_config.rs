use {
  cactusyoke_model::{Clock, DataCentre, Incarnation, NodeId},
  std::{net::SocketAddr, sync::Arc},
};

/// Settings of the membership of one node.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
  /// Address at which other nodes reach this one.
  pub node: NodeId,
  /// Address to bind the UDP socket to.
  pub bind: SocketAddr,
  /// Start time of this node, which tells its runs apart.
  pub incarnation: Incarnation,
  /// Data centre of this node.
  pub data_centre: DataCentre,
  /// Nodes to contact first, in any data centre.
  pub contacts: Vec<NodeId>,
  /// Source of time.
  pub clock: Arc<dyn Clock>,
  /// Seed of the random choices.
  pub seed: u64,
  /// Limit on bytes sent per second.
  pub bytes_per_second: u32,
}
