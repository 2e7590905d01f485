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
  #[bpaf(argument("REVISION"), optional)]
  pub revision: Option<u64>,
  /// Id of a change that was not confirmed, to repeat it; needs --revision
  #[bpaf(argument("ID"), optional)]
  pub id: Option<ChangeId>,
}

impl ChangeOptions {
  /// Identity and base of the change.
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
