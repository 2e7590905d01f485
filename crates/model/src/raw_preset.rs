use {
  crate::{ClassName, PresetName, Retries, RouteName, ServiceName},
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
  /// Routes.
  pub routes: Vec<RawRoute>,
}

/// Route as written in YAML.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRoute {
  /// Name, unique in the preset.
  pub name: RouteName,
  /// Service that answers.
  pub service: ServiceName,
  /// HTTP methods.
  pub methods: Vec<String>,
  /// Path prefix.
  pub path: String,
  /// Class of root requests.
  pub class: ClassName,
  /// May run more than once.
  pub idempotent: bool,
  /// Time allowed for a root request, such as `2s`.
  pub deadline: String,
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
