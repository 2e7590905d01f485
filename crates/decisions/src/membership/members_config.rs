use {
  cactusyoke_model::{DataCentre, Incarnation, NodeId},
  std::time::Duration,
};

/// Identity and timing of the membership of one node.
#[derive(Clone, Debug)]
pub struct MembersConfig {
  /// Address at which other nodes reach this one.
  pub node: NodeId,
  /// Incarnation of this node: its start time.
  pub incarnation: Incarnation,
  /// Data centre of this node.
  pub data_centre: DataCentre,
  /// Configured contacts: nodes of any data centre from which this one learns of the others.
  pub contacts: Vec<NodeId>,
  /// Seed of the random number generator.
  pub seed: u64,
  /// Maximum rate of sent data, bytes per second.
  pub bytes_per_second: u32,
  /// Time between two probes.
  pub probe_period: Duration,
  /// Time to wait for the answer to a probe before other nodes are asked to probe.
  pub probe_timeout: Duration,
}

impl MembersConfig {
  /// Default maximum rate of sent data: half of the 4 KB/s that the design page allows for all
  /// control messages of a node.
  pub const BYTES_PER_SECOND: u32 = 2_000;

  /// Configuration with the timing given in docs/membership.md.
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

  /// Time within which a suspected node can refute the suspicion. It grows with the time that
  /// updates take to reach all of `members`. The suspecting node also informs the suspected one
  /// directly, so that a lost datagram delays the refutation only by a gossip period.
  pub fn suspicion_timeout(&self, members: usize) -> Duration {
    let doublings = usize::BITS - members.leading_zeros();
    self.probe_period * 3 / 2 + self.probe_period / 4 * doublings
  }
}
