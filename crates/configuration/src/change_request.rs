use {
  crate::{ConfigurationError, Record},
  cactusyoke_model::{Change, ChangeId, Edit, Preset, PresetName, RawPreset, Revision},
};

/// Longest operator name, bytes.
const MAX_OPERATOR: usize = 64;
/// Longest reason, bytes. A full audit segment of such reasons has about 350 KB; with control
/// characters, which JSON writes with six bytes, it could pass the 1 MB that the platform accepts,
/// and no change could leave the head any more.
const MAX_REASON: usize = 1_000;

/// Change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeRequest {
  /// Identity, chosen by the asker; a repeated request with the same id is applied once.
  pub id: ChangeId,
  /// Who asks.
  pub operator: String,
  /// Why.
  pub reason: String,
  /// Revision that the operator looked at.
  pub based_on: Revision,
  /// What to change.
  pub edit: RequestedEdit,
}

/// What a change is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestedEdit {
  /// Put a preset in force.
  Use(PresetName),
  /// Add or replace a preset.
  Put(Box<RawPreset>),
}

impl ChangeRequest {
  /// The accepted change, to be offered to the watcher of the node that made it.
  pub fn accepted_change(&self, record: &Record) -> Change {
    let edit = match &self.edit {
      RequestedEdit::Use(after) => Edit::Use {
        before: None,
        after: after.clone(),
      },
      RequestedEdit::Put(after) => Edit::Put {
        before: None,
        after: after.clone(),
      },
    };
    record.change(edit)
  }

  pub(crate) fn check(&self) -> Result<(), ConfigurationError> {
    if self.operator.is_empty() || self.operator.len() > MAX_OPERATOR || unprintable(&self.operator)
    {
      return Err(ConfigurationError::InvalidOperator(MAX_OPERATOR));
    }
    if self.reason.len() > MAX_REASON || unprintable(&self.reason) {
      return Err(ConfigurationError::InvalidReason(MAX_REASON));
    }
    match &self.edit {
      RequestedEdit::Use(_) => Ok(()),
      RequestedEdit::Put(preset) => match Preset::try_from((**preset).clone()) {
        Ok(_) => Ok(()),
        Err(error) => Err(ConfigurationError::InvalidPreset(error)),
      },
    }
  }
}

fn unprintable(text: &str) -> bool {
  text.chars().any(char::is_control)
}
