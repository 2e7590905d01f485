use {
  crate::{ConfigUpdate, OfferResult, Snapshot},
  cactusyoke_model::{Change, Config, ConfigDelta, Edit, PresetError, PresetPatch, Revision},
  std::{collections::VecDeque, sync::Arc},
};

/// Most changes kept for nodes that are behind: 64 are six minutes of changes at full scale.
const MAX_CHANGES: usize = 64;

/// A node's copy of the configuration, with the latest changes. It only moves to higher revisions.
#[derive(Debug, Default)]
pub(crate) struct Replica {
  config: Arc<Config>,
  changes: VecDeque<Change>,
}

impl Replica {
  pub(crate) fn revision(&self) -> Revision {
    self.config.revision
  }

  pub(crate) const fn config(&self) -> &Arc<Config> {
    &self.config
  }

  /// Applies the changes that are new.
  pub(crate) fn apply(&mut self, delta: ConfigDelta) -> OfferResult {
    let mut config = (*self.config).clone();
    let mut added = Vec::new();
    for change in delta.changes {
      if change.revision <= config.revision {
        continue;
      }
      let change = compact(&config, change);
      match config.apply(&change) {
        Ok(true) => added.push(change),
        // The sender's history differs, so it has to send a snapshot.
        Ok(false) | Err(PresetError::PatchMismatch(_)) => return OfferResult::Gap(self.revision()),
        Err(error) => return OfferResult::Invalid(error),
      }
    }
    if added.is_empty() {
      return OfferResult::NotNewer(config.revision);
    }
    self.changes.extend(added);
    let excess = self.changes.len().saturating_sub(MAX_CHANGES);
    self.changes.drain(..excess);
    self.config = Arc::new(config);
    OfferResult::Adopted(self.revision())
  }

  /// Replaces the configuration if the snapshot is newer.
  pub(crate) fn replace(&mut self, snapshot: Snapshot) -> OfferResult {
    if snapshot.revision <= self.revision() {
      return OfferResult::NotNewer(self.revision());
    }
    match Config::try_from(snapshot) {
      Ok(config) => {
        self.changes.clear();
        self.config = Arc::new(config);
        OfferResult::Adopted(self.revision())
      }
      Err(error) => OfferResult::Invalid(error),
    }
  }

  /// What a node at `revision` lacks.
  pub(crate) fn since(&self, revision: Revision) -> ConfigUpdate {
    let known = match self.changes.front() {
      Some(change) => change.revision.0 <= revision.0 + 1,
      None => false,
    };
    if !known && revision < self.revision() {
      return ConfigUpdate::Full(Snapshot::from(&*self.config));
    }
    ConfigUpdate::Delta(ConfigDelta {
      changes: self
        .changes
        .iter()
        .filter(|change| change.revision > revision)
        .cloned()
        .collect(),
    })
  }
}

/// The change as it is kept and sent to other nodes: a replaced preset becomes a patch, since a
/// node may send only about 23 KB per change.
fn compact(config: &Config, change: Change) -> Change {
  let Edit::Put { after, .. } = &change.edit else {
    return change;
  };
  let edit = match config.presets.get(&after.name) {
    Some(before) => Edit::Patch(Box::new(PresetPatch::between(before.raw(), after))),
    None => Edit::Put {
      before: None,
      after: after.clone(),
    },
  };
  Change { edit, ..change }
}
