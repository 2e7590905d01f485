//! Configuration: the presets, which of them is active, and the changes made to them.

use {
  crate::{Preset, PresetError, PresetName, PresetPatch, RawPreset},
  serde::{Deserialize, Serialize},
  std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
    num::ParseIntError,
    str::FromStr,
    sync::Arc,
    time::SystemTime,
  },
};

/// Revision of the configuration: the number of changes accepted so far.
#[derive(
  Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl Display for Revision {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    self.0.fmt(f)
  }
}

/// Id of a change, chosen by the writer before it is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ChangeId(pub u128);

impl Display for ChangeId {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    write!(f, "{:032x}", self.0)
  }
}

impl FromStr for ChangeId {
  type Err = ParseIntError;

  fn from_str(s: &str) -> Result<Self, Self::Err> {
    u128::from_str_radix(s, 16).map(Self)
  }
}

impl TryFrom<String> for ChangeId {
  type Error = ParseIntError;

  fn try_from(s: String) -> Result<Self, Self::Error> {
    s.parse()
  }
}

impl From<ChangeId> for String {
  fn from(id: ChangeId) -> Self {
    id.to_string()
  }
}

/// Content of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
  /// Makes a preset the active one.
  Use {
    /// Active preset before.
    before: Option<PresetName>,
    /// Active preset after.
    after: PresetName,
  },
  /// Adds or replaces a preset.
  Put {
    /// Previous version; `None` for a new preset.
    before: Option<Box<RawPreset>>,
    /// New version.
    after: Box<RawPreset>,
  },
  /// Changes a preset; only for receivers that have its previous version.
  Patch(Box<PresetPatch>),
}

/// Accepted change, as recorded in the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
  /// Revision that resulted from the change.
  pub revision: Revision,
  /// Id chosen by the writer.
  pub id: ChangeId,
  /// Operator who made the change.
  pub operator: String,
  /// Time of the change on the writer's clock.
  pub time: SystemTime,
  /// Reason that the operator gave.
  pub reason: String,
  /// Content of the change.
  pub edit: Edit,
}

/// Consecutive changes that bring a configuration up to date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
  /// Changes with consecutive revisions, in order.
  pub changes: Vec<Change>,
}

/// Configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Config {
  /// Revision.
  pub revision: Revision,
  /// Active preset; `None` before the first one is chosen.
  pub in_force: Option<PresetName>,
  /// All presets.
  pub presets: BTreeMap<PresetName, Arc<Preset>>,
}

impl Config {
  /// The active preset.
  pub fn preset(&self) -> Option<&Arc<Preset>> {
    self.presets.get(self.in_force.as_ref()?)
  }

  /// Applies the next change. Returns false without applying it when its revision is not the next
  /// one.
  pub fn apply(&mut self, change: &Change) -> Result<bool, PresetError> {
    if change.revision.0 != self.revision.0 + 1 {
      return Ok(false);
    }
    match &change.edit {
      Edit::Use { after, .. } => self.in_force = Some(after.clone()),
      Edit::Put { after, .. } => {
        let preset = Preset::try_from((**after).clone())?;
        self.presets.insert(preset.name.clone(), Arc::new(preset));
      }
      Edit::Patch(patch) => {
        let Some(before) = self.presets.get(patch.preset()) else {
          return Err(PresetError::PatchMismatch(patch.preset().clone()));
        };
        let preset = Preset::try_from(patch.apply(before.raw())?)?;
        self.presets.insert(preset.name.clone(), Arc::new(preset));
      }
    }
    self.revision = change.revision;
    Ok(true)
  }
}
