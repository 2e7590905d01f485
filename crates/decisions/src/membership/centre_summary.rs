use {
  cactusyoke_model::{DataCentre, NodeId, ServiceName},
  std::{collections::BTreeMap, time::Instant},
};

/// What is known of another data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CentreSummary {
  /// Name.
  pub data_centre: DataCentre,
  /// A few of its nodes.
  pub contacts: Vec<NodeId>,
  /// Instances serving, by service.
  pub instances: BTreeMap<ServiceName, u32>,
  /// Time of its last message.
  pub last_heard: Instant,
}
