use {
  super::{
    Author, ChangeOptions, CommandError, NodeOptions, author, change_options, node_options,
    preset_edit::read_preset,
  },
  bpaf::Bpaf,
  cactusyoke_model::{ChangeId, RawPreset, Revision},
  cactusyoke_operators::{
    AcceptedChange, Attribution, Client, ClientError, NodeError, PutRequest, UseRequest,
  },
  std::path::PathBuf,
};

/// `preset import`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct PresetImport {
  #[bpaf(external)]
  node_options: NodeOptions,
  #[bpaf(external)]
  author: Author,
  #[bpaf(external)]
  change_options: ChangeOptions,
  /// Puts the preset in force as well
  #[bpaf(long("use"))]
  in_force: bool,
  /// YAML file with the whole preset
  #[bpaf(positional("FILE"))]
  file: PathBuf,
}

impl PresetImport {
  pub(super) async fn execute(self) -> Result<String, CommandError> {
    let client = self.node_options.client()?;
    let author = self.author.attribution()?;
    let preset = read_preset(&self.file)?;
    let name = preset.name.clone();
    let (id, based_on) = self.change_options.resolve(&client).await?;
    let imported = match self.stored_revision(&client, &preset).await? {
      Some(revision) => AcceptedChange { id, revision },
      None => put(&client, &author, preset, id, based_on).await?,
    };
    if !self.in_force {
      return self.node_options.render(&imported, |imported| {
        format!(
          "preset `{name}` is stored at revision {}\n",
          imported.revision
        )
      });
    }
    let request = UseRequest {
      // The second change of one command needs an id of its own, which a repeated command derives
      // from the same first id.
      id: ChangeId(id.0 ^ 1),
      preset: name.clone(),
      operator: author.operator,
      reason: author.reason,
      based_on: imported.revision,
    };
    match client.use_preset(&request).await {
      Ok(accepted) => self.node_options.render(&accepted, |accepted| {
        format!(
          "preset `{name}` is in force from revision {}\n",
          accepted.revision
        )
      }),
      Err(error) => Err(CommandError::NotInForce {
        preset: name,
        revision: imported.revision,
        error,
      }),
    }
  }

  /// Current revision if the node already has the same preset. A different preset with that name is
  /// an error. With `--id`, the command is repeated, and the node decides, since it knows that id.
  async fn stored_revision(
    &self,
    client: &Client,
    preset: &RawPreset,
  ) -> Result<Option<Revision>, CommandError> {
    if self.change_options.id.is_some() {
      return Ok(None);
    }
    match client.preset(&preset.name).await {
      Ok(view) if view.preset == *preset => Ok(Some(view.revision)),
      Ok(view) => Err(CommandError::Exists {
        preset: preset.name.clone(),
        file: self.file.clone(),
        revision: view.revision,
      }),
      Err(ClientError::Node(NodeError::NoPreset { .. })) => Ok(None),
      Err(error) => Err(error.into()),
    }
  }
}

async fn put(
  client: &Client,
  author: &Attribution,
  preset: RawPreset,
  id: ChangeId,
  based_on: Revision,
) -> Result<AcceptedChange, CommandError> {
  let request = PutRequest {
    id,
    preset,
    operator: author.operator.clone(),
    reason: author.reason.clone(),
    based_on,
  };
  Ok(client.put_preset(&request).await?)
}
