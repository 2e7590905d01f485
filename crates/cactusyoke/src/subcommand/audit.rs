use {
  super::{CommandError, NodeOptions, Table, node_options},
  bpaf::Bpaf,
  cactusyoke_model::PresetName,
  cactusyoke_operators::{AuditQuery, AuditRecord, Timestamp},
  std::time::SystemTime,
};

/// Number of characters of a content hash shown in a table, enough to tell presets apart.
const SHORT_HASH: usize = 8;

/// `audit`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct Audit {
  #[bpaf(external)]
  node_options: NodeOptions,
  /// Not before this time, such as 2026-01-31T08:00:00Z, or age, such as 2h
  #[bpaf(argument("TIME"), optional)]
  since: Option<String>,
  /// Not after this time or age
  #[bpaf(argument("TIME"), optional)]
  until: Option<String>,
  /// Changes of this preset only
  #[bpaf(argument("PRESET"), optional)]
  preset: Option<PresetName>,
  /// Changes by this operator only
  #[bpaf(argument("NAME"), optional)]
  by: Option<String>,
  /// Most changes to show; by default 100
  #[bpaf(argument::<String>("COUNT"), parse(|text| parse_count(&text)), fallback(100))]
  limit: usize,
}

impl Audit {
  pub(super) async fn execute(self) -> Result<String, CommandError> {
    let query = AuditQuery {
      since: self.since.as_deref().map(parse_time).transpose()?,
      until: self.until.as_deref().map(parse_time).transpose()?,
      preset: self.preset,
      operator: self.by,
      limit: Some(self.limit),
    };
    let records = self.node_options.client()?.audit(&query).await?;
    self
      .node_options
      .render(&records, |records| to_text(records))
  }
}

fn to_text(records: &[AuditRecord]) -> String {
  if records.is_empty() {
    return "no changes\n".into();
  }
  let mut table = Table::new(&["REVISION", "TIME", "OPERATOR", "CHANGE", "REASON"]);
  for record in records {
    table.row(vec![
      record.revision.to_string(),
      record.time.to_string(),
      record.operator.clone(),
      change(record),
      record.reason.clone(),
    ]);
  }
  table.to_string()
}

fn change(record: &AuditRecord) -> String {
  let short = |text: &str| {
    if record.action == "put" {
      text.chars().take(SHORT_HASH).collect::<String>()
    } else {
      text.to_string()
    }
  };
  let before = record.before.as_deref().map_or("none".into(), short);
  let after = short(&record.after);
  format!("{} {} ({before} to {after})", record.action, record.preset)
}

fn parse_time(text: &str) -> Result<Timestamp, CommandError> {
  if let Ok(time) = text.parse() {
    return Ok(time);
  }
  let age = humantime::parse_duration(text).ok();
  match age.and_then(|age| SystemTime::now().checked_sub(age)) {
    Some(time) => Ok(Timestamp(time)),
    None => Err(CommandError::Time(text.into())),
  }
}

fn parse_count(text: &str) -> Result<usize, String> {
  text.parse().map_err(|_error| "use a whole number".into())
}
