use {
  crate::ContentHash,
  cactusyoke_model::{Change, ChangeId, Edit, PresetName, Revision},
  serde::{Deserialize, Serialize},
  serde_with::{TimestampMilliSeconds, serde_as},
  std::{
    fmt::{self, Display, Formatter},
    time::SystemTime,
  },
};

/// Accepted change as the platform keeps it. Presets are named by content hash, since the head
/// holds sixteen records and a preset of 300 services would not fit into it twice for each.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
  /// Revision that the change made.
  pub revision: Revision,
  /// Identity chosen by the writer.
  pub id: ChangeId,
  /// Who made it.
  pub operator: String,
  /// When, on the writer's clock, milliseconds since 1970.
  #[serde_as(as = "TimestampMilliSeconds<i64>")]
  pub time: SystemTime,
  /// Why.
  pub reason: String,
  /// What it did.
  pub edit: RecordedEdit,
}

/// What an accepted change did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordedEdit {
  /// Put a preset in force.
  Use {
    /// Preset in force before.
    before: Option<PresetName>,
    /// Preset in force after.
    after: PresetName,
  },
  /// Added or replaced a preset.
  Put {
    /// Its name.
    preset: PresetName,
    /// Content before, `None` for a new one.
    before: Option<ContentHash>,
    /// Content after.
    after: ContentHash,
  },
}

impl Record {
  /// Change that it records, with the presets of its edit.
  pub(crate) fn change(&self, edit: Edit) -> Change {
    Change {
      revision: self.revision,
      id: self.id,
      operator: self.operator.clone(),
      time: self.time,
      reason: self.reason.clone(),
      edit,
    }
  }
}

impl RecordedEdit {
  /// The preset that was put in force, added or replaced.
  pub const fn preset(&self) -> &PresetName {
    match self {
      Self::Use { after, .. } => after,
      Self::Put { preset, .. } => preset,
    }
  }
}

impl Display for RecordedEdit {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::Use { after, .. } => write!(f, "put preset `{after}` in force"),
      Self::Put {
        preset,
        before: None,
        ..
      } => write!(f, "added preset `{preset}`"),
      Self::Put { preset, .. } => write!(f, "replaced preset `{preset}`"),
    }
  }
}
