use {
  crate::InterfaceName,
  cactusyoke_model::{ByteSize, DataCentre, NodeId, ServiceName},
  serde::Deserialize,
  std::{collections::BTreeMap, net::SocketAddr},
};

/// Settings as written in YAML, before they are checked.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
  /// Address for other nodes.
  pub node: NodeId,
  /// Data centre of the node.
  pub data_centre: DataCentre,
  /// All data centres.
  pub data_centres: BTreeMap<DataCentre, RawCentre>,
  /// Listener for callers.
  pub callers: SocketAddr,
  /// Listener for outgoing calls of the upstream.
  pub egress: SocketAddr,
  /// Listener for announcements of the upstream.
  pub announce: SocketAddr,
  /// Listener for operators.
  pub operators: SocketAddr,
  /// Secret for changes.
  #[serde(default)]
  pub token: Option<String>,
  /// Address of the platform's key-value service.
  pub platform: SocketAddr,
  /// How callers, upstreams and operators speak to the node.
  #[serde(default)]
  pub interface: InterfaceName,
  /// Service of the upstream beside the node.
  #[serde(default)]
  pub service: Option<ServiceName>,
  /// Address of the upstream beside the node.
  #[serde(default)]
  pub upstream: Option<SocketAddr>,
  /// Bound on repeats that all nodes share.
  #[serde(default)]
  pub retry_budget: Option<RawRetryBudget>,
  /// Time without a renewal after which the upstream is gone, such as `5s`.
  #[serde(default = "default_renewal")]
  pub renewal: String,
  /// Time for which callers are served on after the signal to stop, such as `3s`.
  #[serde(default = "default_linger")]
  pub linger: String,
  /// Threads of the runtime.
  #[serde(default = "default_threads")]
  pub threads: usize,
  /// Bounds.
  #[serde(default)]
  pub limits: RawLimits,
  /// Groups of witnesses in this data centre.
  #[serde(default = "default_groups")]
  pub key_groups: u32,
  /// Longest graceful shutdown, such as `30s`.
  #[serde(default = "default_shutdown")]
  pub shutdown_limit: String,
}

/// Data centre as written in YAML.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawCentre {
  /// Nodes to contact first.
  pub contacts: Vec<NodeId>,
  /// One-way distance, such as `500us`.
  pub distance: Option<String>,
  /// Region; data centres of one region are taken to be near each other.
  pub region: Option<String>,
}

/// Bound on repeats as written in YAML.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRetryBudget {
  /// Repeats for each request in the window.
  pub ratio: f64,
  /// Repeats in the window beside these, of all nodes together.
  pub slack: f64,
  /// Window, such as `10s`.
  pub window: String,
}

/// Bounds as written in YAML.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawLimits {
  /// Open connections on each listener.
  pub connections: u32,
  /// Largest body of a request.
  pub body: ByteSize,
  /// Calls that may wait for the upstream.
  pub queue: usize,
  /// Keys remembered as a witness.
  pub keys: usize,
}

impl Default for RawLimits {
  fn default() -> Self {
    Self {
      connections: 4096,
      body: ByteSize(256 << 20),
      queue: 1000,
      keys: 100_000,
    }
  }
}

fn default_renewal() -> String {
  "5s".into()
}

fn default_linger() -> String {
  "0s".into()
}

/// A node shares its instance with an upstream, and with a thread for each of ten cores a call
/// cost a tenth more processor time.
fn default_threads() -> usize {
  2
}

fn default_groups() -> u32 {
  1
}

fn default_shutdown() -> String {
  "30s".into()
}
