use {
  crate::{ConfigurationError, Record},
  cactusyoke_model::{Change, ChangeId, Edit, Preset, PresetName, RawPreset, Revision},
};

const MAX_OPERATOR_BYTES: usize = 64;
/// A full audit segment of reasons this long has about 350 KB. Control characters are refused, as
/// JSON escapes each with six bytes: a segment could then exceed the platform's limit of 1 MB, and
/// no change could move from the head to the audit trail any more.
const MAX_REASON_BYTES: usize = 1_000;

/// Change requested by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeRequest {
  /// Identifier chosen by the requester; a repeated request with the same id is applied once.
  pub id: ChangeId,
  /// Who requests the change.
  pub operator: String,
  /// Why it is requested.
  pub reason: String,
  /// Revision that the operator saw.
  pub based_on: Revision,
  /// What to change.
  pub edit: RequestedEdit,
}

/// What a requested change does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestedEdit {
  /// Put a preset in force.
  Use(PresetName),
  /// Add or replace a preset.
  Put(Box<RawPreset>),
}

impl ChangeRequest {
  /// The accepted change, to offer to the watcher of the node that made it.
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

  pub(crate) fn validate(&self) -> Result<(), ConfigurationError> {
    if self.operator.is_empty()
      || self.operator.len() > MAX_OPERATOR_BYTES
      || has_control_chars(&self.operator)
    {
      return Err(ConfigurationError::InvalidOperator(MAX_OPERATOR_BYTES));
    }
    if self.reason.len() > MAX_REASON_BYTES || has_control_chars(&self.reason) {
      return Err(ConfigurationError::InvalidReason(MAX_REASON_BYTES));
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

fn has_control_chars(text: &str) -> bool {
  text.chars().any(char::is_control)
}
