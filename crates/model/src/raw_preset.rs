use {
  crate::{
    Backend, ByteSize, ClassName, Connections, HostName, PresetName, Retries, RouteName,
    ServiceName,
  },
  serde::{Deserialize, Serialize},
};

/// Preset as written in YAML, before its parts are checked against each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPreset {
  /// Name.
  pub name: PresetName,
  /// What the preset is for.
  #[serde(default)]
  pub purpose: String,
  /// Classes, most important first.
  pub classes: Vec<ClassName>,
  /// Share of calls on one edge that may be retries, percent.
  #[serde(default = "default_ratio")]
  pub retry_ratio: u8,
  /// Longest wait in a queue, such as `200ms`.
  #[serde(default = "default_wait")]
  pub queue_wait: String,
  /// Time for which idempotency keys are remembered, such as `24h`.
  #[serde(default = "default_memory")]
  pub key_memory: String,
  /// What operators know of services; a service may be left out.
  #[serde(default)]
  pub services: Vec<RawService>,
  /// Bounds on what callers may send; `None` for those of the listeners.
  #[serde(default)]
  pub callers: Option<RawCallers>,
  /// Routes.
  pub routes: Vec<RawRoute>,
}

/// Service as written in YAML.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
  /// Name.
  pub name: ServiceName,
  /// Connections that each upstream accepts; `None` when upstreams announce them.
  #[serde(default)]
  pub connections: Option<Connections>,
  /// Path on which an upstream tells its health.
  #[serde(default)]
  pub health: Option<String>,
}

/// Bounds on callers as written in YAML.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawCallers {
  /// Request line and headers of one request.
  pub headers: ByteSize,
  /// Body of one request.
  pub body: ByteSize,
  /// Time to send a request head, such as `3s`.
  pub head_time: String,
  /// Time for which a connection may stay idle, such as `15s`.
  pub idle: String,
}

/// Route as written in YAML.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRoute {
  /// Name, unique in the preset.
  pub name: RouteName,
  /// Host that requests name; `None` for any.
  #[serde(default)]
  pub host: Option<HostName>,
  /// Service that answers.
  #[serde(default)]
  pub service: Option<ServiceName>,
  /// Services that answer, each its share, in place of one service.
  #[serde(default)]
  pub backends: Vec<Backend>,
  /// HTTP methods; `*` for any.
  pub methods: Vec<String>,
  /// Path prefix.
  pub path: String,
  /// Class of root requests.
  pub class: ClassName,
  /// May run more than once.
  pub idempotent: bool,
  /// Time allowed for a root request, such as `2s`.
  pub deadline: String,
  /// Time within which an answer is worth most, such as `500ms`; the deadline when left out.
  #[serde(default)]
  pub target: Option<String>,
  /// Upstreams to which one request may be sent; bounded by `retries` when left out.
  #[serde(default)]
  pub attempts: Option<u32>,
  /// Retry allowance of a root request.
  #[serde(default)]
  pub retries: Retries,
  /// May run in another data centre.
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
