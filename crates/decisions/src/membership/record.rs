use {
  cactusyoke_model::{Connections, DataCentre, Incarnation, NodeId, ServiceName, Slots},
  serde::{Deserialize, Serialize},
};

/// Life cycle of the upstream beside a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum UpstreamState {
  /// Announced, without work.
  Announced,
  /// Ramping up after a cold start.
  Warming,
  /// Takes work.
  Serving,
  /// Finishes its work and takes no more.
  Draining,
  /// Gone; the node remains.
  Gone,
}

/// What a node reports of its upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamInfo {
  /// Service of the upstream; `None` before it has announced itself.
  pub service: Option<ServiceName>,
  /// Life cycle.
  pub state: UpstreamState,
  /// Announced slots.
  pub slots: Slots,
  /// Announced connections.
  pub connections: Connections,
}

impl Default for UpstreamInfo {
  fn default() -> Self {
    Self {
      service: None,
      state: UpstreamState::Gone,
      slots: Slots(0),
      connections: Connections(0),
    }
  }
}

/// Record of a node; changed only by the node itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
  /// Address.
  pub node: NodeId,
  /// Life of the node that wrote the record.
  pub incarnation: Incarnation,
  /// Data centre.
  pub data_centre: DataCentre,
  /// Service of the upstream.
  pub service: Option<ServiceName>,
  /// Life cycle of the upstream.
  pub state: UpstreamState,
  /// Slots of the upstream.
  pub slots: Slots,
  /// Connections of the upstream.
  pub connections: Connections,
  /// Number of changes within the incarnation.
  pub version: u64,
}

impl Record {
  /// Record of a node without an upstream.
  pub fn new(node: NodeId, incarnation: Incarnation, data_centre: DataCentre) -> Self {
    let own = UpstreamInfo::default();
    Self {
      node,
      incarnation,
      data_centre,
      service: own.service,
      state: own.state,
      slots: own.slots,
      connections: own.connections,
      version: 0,
    }
  }

  /// Replaces the part that describes the upstream and counts the change; false when nothing
  /// changed.
  pub fn set_upstream(&mut self, own: UpstreamInfo) -> bool {
    let before = UpstreamInfo {
      service: self.service.take(),
      state: self.state,
      slots: self.slots,
      connections: self.connections,
    };
    let changed = before != own;
    self.service = own.service;
    self.state = own.state;
    self.slots = own.slots;
    self.connections = own.connections;
    self.version += u64::from(changed);
    changed
  }
}
