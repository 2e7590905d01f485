use {crate::Record, cactusyoke_model::PresetName, std::time::SystemTime};

/// Selection of audit records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditFilter {
  /// Not before.
  pub since: Option<SystemTime>,
  /// Not after.
  pub until: Option<SystemTime>,
  /// Changes of this preset only.
  pub preset: Option<PresetName>,
  /// Changes by this operator only.
  pub operator: Option<String>,
  /// Most records to return.
  pub limit: usize,
}

impl Default for AuditFilter {
  fn default() -> Self {
    Self {
      since: None,
      until: None,
      preset: None,
      operator: None,
      limit: 1_000,
    }
  }
}

impl AuditFilter {
  /// True when the record is selected.
  pub fn matches(&self, record: &Record) -> bool {
    self.since.is_none_or(|since| record.time >= since)
      && self.until.is_none_or(|until| record.time <= until)
      && self
        .preset
        .as_ref()
        .is_none_or(|preset| preset == record.edit.preset())
      && self
        .operator
        .as_ref()
        .is_none_or(|operator| *operator == record.operator)
  }
}
