use {
  cactusyoke_model::{Connections, DataCentre, Incarnation, NodeId, ServiceName, Slots},
  serde::{Deserialize, Serialize},
  std::net::IpAddr,
};

/// Connections that no upstream exceeds.
const MAX_CONNECTIONS: u32 = 10_000_000;

/// State of a node's upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum UpstreamState {
  /// Announced; takes no work yet.
  Announced,
  /// Ramping up after a cold start.
  Warming,
  /// Takes work at full speed.
  Serving,
  /// Finishes its work and takes no new work.
  Draining,
  /// Not running, while its node still is.
  Gone,
}

/// Part of a record that describes the upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamInfo {
  /// Service of the upstream; `None` before it has announced itself.
  pub service: Option<ServiceName>,
  /// State.
  pub state: UpstreamState,
  /// Slots that the upstream announced.
  pub slots: Slots,
  /// Connections that the upstream announced.
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

/// Record of a node, which only the node itself changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
  /// Address.
  pub node: NodeId,
  /// Incarnation of the node that wrote the record.
  pub incarnation: Incarnation,
  /// Data centre.
  pub data_centre: DataCentre,
  /// Service of the upstream.
  pub service: Option<ServiceName>,
  /// State of the upstream.
  pub state: UpstreamState,
  /// Slots of the upstream.
  pub slots: Slots,
  /// Connections of the upstream.
  pub connections: Connections,
  /// Number of changes within the incarnation.
  pub version: u64,
}

impl MemberRecord {
  /// True when other nodes can use the record: its node can have the address, and its upstream the
  /// slots and connections.
  pub fn is_usable(&self) -> bool {
    let ip = self.node.0.ip();
    let broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    let address =
      self.node.0.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !broadcast;
    address && self.slots <= Slots::MAX && self.connections.0 <= MAX_CONNECTIONS
  }

  /// Record of a node without an upstream.
  pub fn new(node: NodeId, incarnation: Incarnation, data_centre: DataCentre) -> Self {
    let upstream = UpstreamInfo::default();
    Self {
      node,
      incarnation,
      data_centre,
      service: upstream.service,
      state: upstream.state,
      slots: upstream.slots,
      connections: upstream.connections,
      version: 0,
    }
  }

  /// Replaces the part that describes the upstream and raises the version; false when nothing
  /// changed.
  pub fn set_upstream(&mut self, upstream: UpstreamInfo) -> bool {
    let before = UpstreamInfo {
      service: self.service.take(),
      state: self.state,
      slots: self.slots,
      connections: self.connections,
    };
    let changed = before != upstream;
    self.service = upstream.service;
    self.state = upstream.state;
    self.slots = upstream.slots;
    self.connections = upstream.connections;
    self.version += u64::from(changed);
    changed
  }
}
