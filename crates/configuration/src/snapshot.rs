use {
  cactusyoke_model::{Config, ConfigDelta, Preset, PresetError, PresetName, RawPreset, Revision},
  serde::{Deserialize, Serialize},
  std::{collections::BTreeMap, sync::Arc},
};

/// Whole configuration, as nodes send it to each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
  /// Revision.
  pub revision: Revision,
  /// Preset in force.
  pub in_force: Option<PresetName>,
  /// All presets.
  pub presets: Vec<RawPreset>,
}

/// What a node sends to one that has an older configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigUpdate {
  /// Changes from the other's revision on.
  Delta(ConfigDelta),
  /// Everything, since the changes are no longer known.
  Full(Snapshot),
}

impl From<&Config> for Snapshot {
  fn from(config: &Config) -> Self {
    Self {
      revision: config.revision,
      in_force: config.in_force.clone(),
      presets: config
        .presets
        .values()
        .map(|preset| preset.raw().clone())
        .collect(),
    }
  }
}

impl TryFrom<Snapshot> for Config {
  type Error = PresetError;

  fn try_from(snapshot: Snapshot) -> Result<Self, Self::Error> {
    let mut presets = BTreeMap::new();
    for raw in snapshot.presets {
      let preset = Preset::try_from(raw)?;
      presets.insert(preset.name.clone(), Arc::new(preset));
    }
    Ok(Self {
      revision: snapshot.revision,
      in_force: snapshot.in_force,
      presets,
    })
  }
}
