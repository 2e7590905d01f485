use {
  crate::{
    Backend, ByteSize, ClassName, Connections, HostName, KeyDigest, PresetName, Retries, RouteName,
    ServiceName, TenantName, UsageCap,
  },
  serde::{Deserialize, Serialize},
};

/// Preset as parsed from YAML, before its parts are validated against each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPreset {
  /// Name.
  pub name: PresetName,
  /// Purpose, for operators.
  #[serde(default)]
  pub purpose: String,
  /// Classes, most important first.
  pub classes: Vec<ClassName>,
  /// Maximum share of retries among the calls of a node to one route, percent.
  #[serde(default = "default_ratio")]
  pub retry_ratio: u8,
  /// Maximum time in a queue, such as `200ms`.
  #[serde(default = "default_wait")]
  pub queue_wait: String,
  /// Time for which idempotency keys are remembered, such as `24h`.
  #[serde(default = "default_memory")]
  pub key_memory: String,
  /// Settings of services; a service without settings may be left out.
  #[serde(default)]
  pub services: Vec<RawService>,
  /// Limits on requests of callers; `None` for the limits of the listeners.
  #[serde(default)]
  pub callers: Option<RawCallers>,
  /// Callers need the key of a tenant, even while no tenant is listed.
  #[serde(default)]
  pub keyed: bool,
  /// Tenants. If any is listed, callers need the key of a tenant.
  #[serde(default)]
  pub tenants: Vec<RawTenant>,
  /// Routes.
  pub routes: Vec<RawRoute>,
}

/// Settings of a service as parsed from YAML.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
  /// Name.
  pub name: ServiceName,
  /// Connections that each upstream accepts; `None` when the upstreams announce the number.
  #[serde(default)]
  pub connections: Option<Connections>,
  /// Path of the upstream's health endpoint.
  #[serde(default)]
  pub health: Option<String>,
}

/// Tenant as parsed from YAML.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTenant {
  /// Name, unique in the preset.
  pub name: TenantName,
  /// Digests of its API keys.
  #[serde(default)]
  pub keys: Vec<KeyDigest>,
  /// Class of its root requests; that of the route when left out.
  #[serde(default)]
  pub class: Option<ClassName>,
  /// Usage cap; no cap when left out.
  #[serde(default)]
  pub cap: Option<UsageCap>,
}

/// Limits on requests of callers as parsed from YAML.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawCallers {
  /// Maximum size of the request line and headers of one request.
  pub headers: ByteSize,
  /// Maximum size of the body of one request.
  pub body: ByteSize,
  /// Time allowed to send a request head, such as `3s`.
  pub head_time: String,
  /// Time after which an idle connection is closed, such as `15s`.
  pub idle: String,
}

/// Route as parsed from YAML.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRoute {
  /// Name, unique in the preset.
  pub name: RouteName,
  /// Host of the requests; `None` for any.
  #[serde(default)]
  pub host: Option<HostName>,
  /// Service that answers all requests of the route.
  #[serde(default)]
  pub service: Option<ServiceName>,
  /// Services that share the requests by weight; set instead of `service`.
  #[serde(default)]
  pub backends: Vec<Backend>,
  /// HTTP methods; `*` for any.
  pub methods: Vec<String>,
  /// Path prefix.
  pub path: String,
  /// Class of root requests.
  pub class: ClassName,
  /// Callers need no key, even when the preset has tenants.
  #[serde(default)]
  pub anonymous: bool,
  /// The request may run more than once.
  pub idempotent: bool,
  /// Time allowed for a root request, such as `2s`.
  pub deadline: String,
  /// Target latency, such as `500ms`: answers that arrive within it are worth most. The deadline
  /// when left out.
  #[serde(default)]
  pub target: Option<String>,
  /// Maximum number of upstreams to which one request is sent; limited only by `retries` when left
  /// out.
  #[serde(default)]
  pub attempts: Option<u32>,
  /// Retry allowance of a root request.
  #[serde(default)]
  pub retries: Retries,
  /// The request may run in another data centre.
  #[serde(default)]
  pub spill: bool,
}

fn default_ratio() -> u8 {
  10
}

fn default_wait() -> String {
  "200ms".into()
}

fn default_memory() -> String {
  "24h".into()
}
