//! The configuration: presets, the one in force, and the changes that led to it.

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

/// Number of accepted changes since the first.
#[derive(
  Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl Display for Revision {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    self.0.fmt(f)
  }
}

/// Identity of a change, chosen by its writer before the write.
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

/// What a change does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
  /// Puts a preset in force.
  Use {
    /// Preset in force before.
    before: Option<PresetName>,
    /// Preset in force after.
    after: PresetName,
  },
  /// Adds or replaces a preset.
  Put {
    /// Preset before, `None` for a new one.
    before: Option<Box<RawPreset>>,
    /// Preset after.
    after: Box<RawPreset>,
  },
  /// Replaces a preset, for a receiver that has the preset before.
  Patch(Box<PresetPatch>),
}

/// Accepted change, as kept in the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
  /// Revision that the change made.
  pub revision: Revision,
  /// Identity chosen by the writer.
  pub id: ChangeId,
  /// Who made it.
  pub operator: String,
  /// When, on the writer's clock.
  pub time: SystemTime,
  /// Why.
  pub reason: String,
  /// What it did.
  pub edit: Edit,
}

/// Changes that lead from one revision to the next ones, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
  /// Changes with consecutive revisions.
  pub changes: Vec<Change>,
}

/// Configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Config {
  /// Revision.
  pub revision: Revision,
  /// Preset in force; `None` before the first one is chosen.
  pub in_force: Option<PresetName>,
  /// All presets.
  pub presets: BTreeMap<PresetName, Arc<Preset>>,
}

impl Config {
  /// The preset in force.
  pub fn preset(&self) -> Option<&Arc<Preset>> {
    self.presets.get(self.in_force.as_ref()?)
  }

  /// Applies the next change. A change with another revision than the next is not applied and
  /// returns false.
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
