use {
  crate::{ContentHash, Record, RecordedEdit, RequestedEdit},
  cactusyoke_model::{ChangeId, PresetName, Revision},
  serde::{Deserialize, Serialize},
  std::collections::BTreeMap,
};

/// Most changes kept in the head.
pub(crate) const MAX_HEAD_CHANGES: usize = 16;
/// Changes moved to the audit trail together, so that only every eighth change writes a segment.
pub(crate) const MOVE_BATCH: usize = 8;

/// Value of `config/head`: the configuration, with presets by reference, and the latest changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
  /// Number of accepted changes.
  pub revision: Revision,
  /// Preset in force.
  pub in_force: Option<PresetName>,
  /// Revision that put the preset in force.
  pub used: Revision,
  /// All presets.
  pub presets: BTreeMap<PresetName, PresetRef>,
  /// Latest changes, oldest first, with consecutive revisions up to the head's.
  pub changes: Vec<Record>,
}

/// Reference to the content of a preset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresetRef {
  /// Hash of the content.
  pub hash: ContentHash,
  /// Revision that stored this content.
  pub revision: Revision,
}

impl Head {
  /// Record of a change, if the head still holds it.
  pub fn find(&self, id: ChangeId) -> Option<&Record> {
    self.changes.iter().find(|record| record.id == id)
  }

  /// Revision of the oldest change in the head; the next revision if there is none.
  pub(crate) fn oldest_revision(&self) -> Revision {
    match self.changes.first() {
      Some(record) => record.revision,
      None => self.next_revision(),
    }
  }

  pub(crate) const fn next_revision(&self) -> Revision {
    Revision(self.revision.0 + 1)
  }

  /// Revision of the latest change after `base` that conflicts with `edit`. Replacing the preset in
  /// force also conflicts with the change that put it in force, since it takes effect at once.
  pub(crate) fn conflict(&self, edit: &RequestedEdit, base: Revision) -> Option<Revision> {
    let content = |name| self.presets.get(name).map(|entry| entry.revision);
    let (put, used) = match edit {
      RequestedEdit::Use(name) => (content(name), Some(self.used)),
      RequestedEdit::Put(preset) => {
        let in_force = self.in_force.as_ref() == Some(&preset.name);
        (content(&preset.name), in_force.then_some(self.used))
      }
    };
    put.max(used).filter(|revision| *revision > base)
  }

  /// Adds the record of the next change and applies the change.
  pub(crate) fn push(&mut self, record: Record) {
    self.revision = record.revision;
    match &record.edit {
      RecordedEdit::Use { after, .. } => {
        self.in_force = Some(after.clone());
        self.used = record.revision;
      }
      RecordedEdit::Put { preset, after, .. } => {
        let entry = PresetRef {
          hash: *after,
          revision: record.revision,
        };
        self.presets.insert(preset.clone(), entry);
      }
    }
    self.changes.push(record);
  }
}
