use {
  crate::{ConfigurationError, ContentHash, Expect, Store, StoreError},
  bytes::Bytes,
  cactusyoke_model::{PresetName, RawPreset},
  std::sync::Arc,
};

/// Stored presets: immutable values under `config/preset/NAME/HASH`.
#[derive(Clone, Debug)]
pub struct Presets(Arc<dyn Store>);

impl Presets {
  /// Presets in `store`.
  pub fn new(store: Arc<dyn Store>) -> Self {
    Self(store)
  }

  /// Hash under which a preset is stored.
  pub fn hash(preset: &RawPreset) -> Result<ContentHash, ConfigurationError> {
    Ok(ContentHash::of(&encode(preset)?))
  }

  /// Reads a preset.
  pub async fn read(
    &self,
    name: &PresetName,
    hash: ContentHash,
  ) -> Result<RawPreset, ConfigurationError> {
    let key = key(name, hash);
    let Some(found) = self.0.get(&key).await? else {
      return Err(ConfigurationError::Unavailable(format!(
        "the platform has no value of `{key}` yet: try again"
      )));
    };
    if ContentHash::of(&found.value) != hash {
      let cause = "its content has a different hash".into();
      return Err(ConfigurationError::Corrupt { key, cause });
    }
    serde_json::from_slice(&found.value).map_err(|error| ConfigurationError::Corrupt {
      key,
      cause: error.to_string(),
    })
  }

  /// Writes a preset unless it exists, and returns its hash.
  pub(crate) async fn write(&self, preset: &RawPreset) -> Result<ContentHash, ConfigurationError> {
    let content = encode(preset)?;
    let hash = ContentHash::of(&content);
    let key = key(&preset.name, hash);
    match self.0.put(&key, content.clone(), Expect::Absent).await {
      Ok(_) => Ok(hash),
      Err(StoreError::Conflict { .. }) => match self.0.get(&key).await? {
        Some(found) if found.value != content => Err(ConfigurationError::HashCollision(hash)),
        Some(_) | None => Ok(hash),
      },
      Err(error) => Err(error.into()),
    }
  }
}

fn key(name: &PresetName, hash: ContentHash) -> String {
  format!("config/preset/{name}/{hash}")
}

fn encode(preset: &RawPreset) -> Result<Bytes, ConfigurationError> {
  match serde_json::to_vec(preset) {
    Ok(content) => Ok(content.into()),
    Err(error) => Err(ConfigurationError::Corrupt {
      key: format!("config/preset/{}", preset.name),
      cause: error.to_string(),
    }),
  }
}
