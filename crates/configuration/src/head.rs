use {
  crate::{ContentHash, Record, RecordedEdit, RequestedEdit},
  cactusyoke_model::{ChangeId, PresetName, Revision},
  serde::{Deserialize, Serialize},
  std::collections::BTreeMap,
};

/// Changes that the head keeps.
pub(crate) const HEAD_CHANGES: usize = 16;
/// Changes that move to the audit segments at once, so that a segment is written for every eighth
/// change and not for each.
pub(crate) const MOVED: usize = 8;

/// Value of `config/head`: the configuration by reference, and the latest changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
  /// Number of accepted changes.
  pub revision: Revision,
  /// Preset in force.
  pub in_force: Option<PresetName>,
  /// Revision that put it in force.
  pub used: Revision,
  /// All presets.
  pub presets: BTreeMap<PresetName, PresetRef>,
  /// Latest changes, oldest first, with consecutive revisions up to that of the head.
  pub changes: Vec<Record>,
}

/// Content of a preset by reference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresetRef {
  /// Content.
  pub hash: ContentHash,
  /// Revision that put this content in place.
  pub revision: Revision,
}

impl Head {
  /// The record of a change, where the head still has it.
  pub fn find(&self, id: ChangeId) -> Option<&Record> {
    self.changes.iter().find(|record| record.id == id)
  }

  /// Revision of the oldest change in the head, or the next revision when there is none.
  pub(crate) fn oldest(&self) -> Revision {
    match self.changes.first() {
      Some(record) => record.revision,
      None => self.next(),
    }
  }

  pub(crate) const fn next(&self) -> Revision {
    Revision(self.revision.0 + 1)
  }

  /// Latest change after `base` that touches the subject of `edit`. A preset in force is touched
  /// by its use as well, since an edit of it takes effect at once.
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

  /// Adds the record of the next change and carries it out.
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
