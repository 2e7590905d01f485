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

/// Accepted change, as stored. It refers to presets by content hash: the head holds 16 records, and
/// would be too large with two copies of a 300-service preset in each.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
  /// Revision that the change created.
  pub revision: Revision,
  /// Identifier chosen by the writer.
  pub id: ChangeId,
  /// Who made the change.
  pub operator: String,
  /// When it was made, by the writer's clock, in milliseconds since 1970.
  #[serde_as(as = "TimestampMilliSeconds<i64>")]
  pub time: SystemTime,
  /// Why it was made.
  pub reason: String,
  /// What it changed.
  pub edit: RecordedEdit,
}

/// What an accepted change changed.
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
    /// Name.
    preset: PresetName,
    /// Content before; `None` for a new preset.
    before: Option<ContentHash>,
    /// Content after.
    after: ContentHash,
  },
}

impl Record {
  /// The recorded change, with `edit` holding presets in place of hashes.
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
