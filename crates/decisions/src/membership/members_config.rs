use {
  cactusyoke_model::{DataCentre, Incarnation, NodeId},
  std::time::Duration,
};

/// Identity and pace of the membership of one node.
#[derive(Clone, Debug)]
pub struct MembersConfig {
  /// Address at which other nodes reach this one.
  pub node: NodeId,
  /// Start time of this node.
  pub incarnation: Incarnation,
  /// Data centre of this node.
  pub data_centre: DataCentre,
  /// Nodes to contact first, of any data centre.
  pub contacts: Vec<NodeId>,
  /// Seed of the random choices.
  pub seed: u64,
  /// Bytes a second that may be sent.
  pub bytes_per_second: u32,
  /// Time between two probes.
  pub probe_period: Duration,
  /// Time for an answer to a probe before others are asked to probe.
  pub probe_timeout: Duration,
}

impl MembersConfig {
  /// Bytes a second that may be sent: half of the 4 KB/s that the design page allows for all
  /// control messages of a node.
  pub const BYTES_PER_SECOND: u32 = 2_000;

  /// The pace of docs/membership.md.
  pub fn new(node: NodeId, incarnation: Incarnation, data_centre: DataCentre) -> Self {
    Self {
      node,
      incarnation,
      data_centre,
      contacts: Vec::new(),
      seed: 0,
      bytes_per_second: Self::BYTES_PER_SECOND,
      probe_period: Duration::from_secs(1),
      probe_timeout: Duration::from_millis(300),
    }
  }

  /// Time for a suspected node to refute: grows with the time that updates take to reach all
  /// of `members`. The suspecting node tells the suspected one at once, so that a lost datagram
  /// costs a gossip period and not the time.
  pub fn suspicion_timeout(&self, members: usize) -> Duration {
    let doublings = usize::BITS - members.leading_zeros();
    self.probe_period * 3 / 2 + self.probe_period / 4 * doublings
  }
}
