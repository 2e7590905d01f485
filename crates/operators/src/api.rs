//! JSON bodies of the requests and responses of the operator listener.

use {
  crate::Timestamp,
  cactusyoke_model::{
    ChangeId, DataCentre, Incarnation, NodeId, PresetName, RawPreset, Revision, ServiceName,
  },
  serde::{Deserialize, Serialize},
};

/// Request to put a preset in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UseRequest {
  /// Id of the change; a repeated request with the same id is applied once.
  pub id: ChangeId,
  /// Preset to put in force.
  pub preset: PresetName,
  /// Who asks.
  pub operator: String,
  /// Why.
  #[serde(default)]
  pub reason: String,
  /// Revision that the operator saw and on which the change is based.
  pub based_on: Revision,
}

/// Request to add or replace a preset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PutRequest {
  /// Id of the change; a repeated request with the same id is applied once.
  pub id: ChangeId,
  /// Complete preset.
  pub preset: RawPreset,
  /// Who asks.
  pub operator: String,
  /// Why.
  #[serde(default)]
  pub reason: String,
  /// Revision that the operator saw and on which the change is based.
  pub based_on: Revision,
}

/// Who asks for an operation that does not change the configuration, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Attribution {
  /// Who asks.
  pub operator: String,
  /// Why.
  #[serde(default)]
  pub reason: String,
}

/// A change that is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
  /// Id of the change.
  pub id: ChangeId,
  /// Revision that it made.
  pub revision: Revision,
}

/// Configuration of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigView {
  /// Revision.
  pub revision: Revision,
  /// Preset in force.
  pub in_force: Option<PresetName>,
  /// Names and purposes of all presets.
  pub presets: Vec<PresetSummary>,
}

/// One line of a list of presets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresetSummary {
  /// Name.
  pub name: PresetName,
  /// What it is for.
  pub purpose: String,
  /// Number of routes.
  pub routes: usize,
}

/// One preset with the revision at which it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresetView {
  /// Revision of the configuration.
  pub revision: Revision,
  /// The preset as it was written.
  pub preset: RawPreset,
}

/// Selection of audit records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AuditQuery {
  /// Not before.
  pub since: Option<Timestamp>,
  /// Not after.
  pub until: Option<Timestamp>,
  /// Only changes of this preset.
  pub preset: Option<PresetName>,
  /// Only changes by this operator.
  pub operator: Option<String>,
  /// Most records to return.
  pub limit: Option<usize>,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
  /// Revision that it made.
  pub revision: Revision,
  /// Id of the change.
  pub id: ChangeId,
  /// Who made it.
  pub operator: String,
  /// When.
  pub time: Timestamp,
  /// Why.
  pub reason: String,
  /// `use` or `put`.
  pub action: String,
  /// Preset put in force, added or replaced.
  pub preset: PresetName,
  /// Preset in force before, or content hash of the preset before.
  pub before: Option<String>,
  /// Preset in force after, or content hash of the preset after.
  pub after: String,
}

/// Status of a node and of the members that it knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusView {
  /// The node that answers.
  pub node: NodeStatus,
  /// The upstream next to it, once announced.
  pub upstream: Option<UpstreamStatus>,
  /// How the node sees the platform.
  pub platform: PlatformView,
  /// Members of the data centre, this node among them.
  pub members: Vec<MemberView>,
}

/// Status of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
  /// Its address.
  pub node: NodeId,
  /// Its incarnation.
  pub incarnation: Incarnation,
  /// Its data centre.
  pub data_centre: DataCentre,
  /// Revision in force.
  pub revision: Revision,
  /// Preset in force.
  pub in_force: Option<PresetName>,
  /// True while it drains.
  pub draining: bool,
  /// Seconds since its start.
  pub uptime_seconds: u64,
}

/// Phase and load of the upstream next to a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
  /// Its service.
  pub service: ServiceName,
  /// Phase of its lifecycle, such as `serving`.
  pub state: String,
  /// Slots that it announced.
  pub slots: u32,
  /// Current concurrency limit.
  pub limit: u32,
  /// Calls in flight.
  pub in_flight: u32,
  /// Calls in the queue.
  pub queued: u32,
  /// Least important level admitted.
  pub level: String,
}

/// How a node sees the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformView {
  /// True when the last call succeeded.
  pub reachable: bool,
  /// True while the node holds a watch.
  pub watching: bool,
  /// Seconds since the last successful call.
  pub last_success_seconds: Option<u64>,
  /// Revision on the platform when it is lower than the one in force; the node does not adopt it.
  pub lower_revision: Option<Revision>,
  /// Last failure.
  pub error: Option<String>,
}

/// One member of the data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
  /// Its address.
  pub node: NodeId,
  /// Its incarnation.
  pub incarnation: Incarnation,
  /// Service of its upstream.
  pub service: Option<ServiceName>,
  /// Phase of its upstream's lifecycle, such as `serving`.
  pub state: String,
  /// `alive`, `suspected` or `dead`.
  pub status: String,
  /// Slots of its upstream.
  pub slots: u32,
  /// Revision that it has adopted.
  pub revision: Revision,
}

/// One request in quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineView {
  /// Fingerprint of the request.
  pub id: String,
  /// Its service.
  pub service: ServiceName,
  /// Upstream crashes that it caused.
  pub crashes: u32,
  /// Seconds until it is released.
  pub remaining_seconds: u64,
}
