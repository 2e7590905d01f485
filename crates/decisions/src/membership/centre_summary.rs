use {
  cactusyoke_model::{DataCentre, NodeId, ServiceName},
  std::{collections::BTreeMap, time::Instant},
};

/// Summary of another data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CentreSummary {
  /// Name.
  pub data_centre: DataCentre,
  /// A few of its nodes.
  pub contacts: Vec<NodeId>,
  /// Number of serving instances by service.
  pub instances: BTreeMap<ServiceName, u32>,
  /// Time of the last message from one of its nodes.
  pub last_heard: Instant,
}
