use {
  super::{
    Author, ChangeOptions, CommandError, NodeOptions, author, change_options, node_options,
    preset_edit::read,
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
    let author = self.author.reason()?;
    let preset = read(&self.file)?;
    let name = preset.name.clone();
    let (id, based_on) = self.change_options.resolve(&client).await?;
    let imported = match self.present(&client, &preset).await? {
      Some(revision) => AcceptedChange { id, revision },
      None => put(&client, &author, preset, id, based_on).await?,
    };
    if !self.in_force {
      return self.node_options.print(&imported, |imported| {
        format!(
          "preset `{name}` is stored at revision {}\n",
          imported.revision
        )
      });
    }
    let request = UseRequest {
      // The second change of one command has an identity of its own that a repetition finds again.
      id: ChangeId(id.0 ^ 1),
      preset: name.clone(),
      operator: author.operator,
      reason: author.reason,
      based_on: imported.revision,
    };
    match client.use_preset(&request).await {
      Ok(accepted) => self.node_options.print(&accepted, |accepted| {
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

  /// The revision at which the node has the same preset already. Another one by that name is not
  /// replaced; a repeated command leaves the decision to the node, which finds its id.
  async fn present(
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
