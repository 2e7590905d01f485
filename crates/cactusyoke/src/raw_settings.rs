use {
  crate::{BalancingMode, InterfaceName},
  cactusyoke_model::{ByteSize, DataCentre, NodeId, ServiceName},
  serde::Deserialize,
  std::{collections::BTreeMap, net::SocketAddr},
};

/// Settings as written in YAML, not yet checked.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
  /// Address at which other nodes reach this one.
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
  /// Token that operators need for changes.
  #[serde(default)]
  pub token: Option<String>,
  /// Address of the platform's key-value service.
  pub platform: SocketAddr,
  /// Protocol between the node and its callers, upstreams and operators.
  #[serde(default)]
  pub interface: InterfaceName,
  /// Service of the upstream beside the node.
  #[serde(default)]
  pub service: Option<ServiceName>,
  /// Address of the upstream beside the node.
  #[serde(default)]
  pub upstream: Option<SocketAddr>,
  /// How load is balanced among the instances of a service.
  #[serde(default)]
  pub balancing: BalancingMode,
  /// Retry budget, shared by all nodes.
  #[serde(default)]
  pub retry_budget: Option<RawRetryBudget>,
  /// Allowed excess over the usage caps of tenants, of all nodes together.
  #[serde(default)]
  pub usage_caps: Option<RawUsageCaps>,
  /// Time without a renewal after which the upstream counts as gone, such as `5s`.
  #[serde(default = "default_renewal")]
  pub renewal: String,
  /// Time for which callers are still served after the signal to stop, such as `3s`.
  #[serde(default = "default_linger")]
  pub linger: String,
  /// Number of threads of the runtime.
  #[serde(default = "default_threads")]
  pub threads: usize,
  /// Limits.
  #[serde(default)]
  pub limits: RawLimits,
  /// Number of groups of witnesses in this data centre.
  #[serde(default = "default_groups")]
  pub key_groups: u32,
  /// Time limit of a graceful shutdown, such as `30s`.
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
  /// Region. Data centres in the same region have a shorter default distance.
  pub region: Option<String>,
}

/// Retry budget as written in YAML.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRetryBudget {
  /// Retries per request in the window.
  pub ratio: f64,
  /// Further retries in the window, of all nodes together.
  pub slack: f64,
  /// Length of the window, such as `10s`.
  pub window: String,
}

/// Allowed excess over usage caps as written in YAML.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawUsageCaps {
  /// Length of the sliding window, such as `5s`.
  pub window: String,
  /// Excess in the window, as a part of what the cap allows there.
  #[serde(default)]
  pub over: f64,
  /// Further excess in the window, requests.
  #[serde(default)]
  pub slack: f64,
}

/// Limits as written in YAML.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawLimits {
  /// Maximum number of open connections on each listener.
  pub connections: u32,
  /// Maximum size of a request body.
  pub body: ByteSize,
  /// Maximum number of calls that wait for the upstream.
  pub queue: usize,
  /// Maximum number of idempotency keys that the node remembers as a witness.
  pub keys: usize,
  /// Memory that the process may take; without it, the memory for clients is not bounded.
  pub memory: Option<ByteSize>,
}

impl Default for RawLimits {
  fn default() -> Self {
    Self {
      connections: 4096,
      body: ByteSize(256 << 20),
      queue: 1000,
      keys: 100_000,
      memory: None,
    }
  }
}

fn default_renewal() -> String {
  "5s".into()
}

fn default_linger() -> String {
  "0s".into()
}

/// Two threads rather than one per core, because the node shares its instance with an upstream:
/// with one thread for each of ten cores, a call took a tenth more processor time.
fn default_threads() -> usize {
  2
}

fn default_groups() -> u32 {
  1
}

fn default_shutdown() -> String {
  "30s".into()
}
