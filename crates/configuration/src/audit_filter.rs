use {crate::Record, cactusyoke_model::PresetName, std::time::SystemTime};

/// Selection of records of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditFilter {
  /// No changes before this time.
  pub since: Option<SystemTime>,
  /// No changes after this time.
  pub until: Option<SystemTime>,
  /// Only changes of this preset.
  pub preset: Option<PresetName>,
  /// Only changes by this operator.
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
  /// True if the record is selected; [`AuditFilter::limit`] is not applied here.
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
