use {
  super::CommandError,
  bpaf::Bpaf,
  cactusyoke_model::{ChangeId, Revision},
  cactusyoke_operators::Client,
  rand::Rng,
};

/// Identity and base of a change, for a command that is repeated.
#[derive(Bpaf, Clone, Debug)]
pub struct ChangeOptions {
  /// Revision that you looked at; by default that of the node
  #[bpaf(argument::<String>("REVISION"), parse(|text| parse_revision(&text)), optional)]
  pub revision: Option<u64>,
  /// Id of a change that was not confirmed, to repeat it; needs --revision
  #[bpaf(argument::<String>("ID"), parse(|text| parse_id(&text)), optional)]
  pub id: Option<ChangeId>,
}

impl ChangeOptions {
  /// Id of the change and the revision that it is based on.
  pub async fn resolve(&self, client: &Client) -> Result<(ChangeId, Revision), CommandError> {
    match (self.id, self.revision) {
      (Some(_), None) => Err(CommandError::IdAlone),
      (id, Some(revision)) => Ok((id.unwrap_or_else(new_id), Revision(revision))),
      (None, None) => Ok((new_id(), client.config().await?.revision)),
    }
  }
}

pub(super) fn new_id() -> ChangeId {
  ChangeId(rand::rng().random())
}

pub(super) fn parse_revision(text: &str) -> Result<u64, String> {
  text
    .parse()
    .map_err(|_error| "use the number that `preset show` or `preset list` prints".into())
}

pub(super) fn parse_id(text: &str) -> Result<ChangeId, String> {
  text
    .parse()
    .map_err(|_error| "use the id as the failed command printed it".into())
}
