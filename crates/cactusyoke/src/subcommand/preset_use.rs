use {
  super::{Author, ChangeOptions, CommandError, NodeOptions, author, change_options, node_options},
  bpaf::Bpaf,
  cactusyoke_model::PresetName,
  cactusyoke_operators::UseRequest,
};

/// `preset use`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct PresetUse {
  #[bpaf(external)]
  node_options: NodeOptions,
  #[bpaf(external)]
  author: Author,
  #[bpaf(external)]
  change_options: ChangeOptions,
  /// Name of the preset
  #[bpaf(positional("PRESET"))]
  name: PresetName,
}

impl PresetUse {
  pub(super) async fn execute(self) -> Result<String, CommandError> {
    let client = self.node_options.client()?;
    let author = self.author.attribution()?;
    let (id, based_on) = self.change_options.resolve(&client).await?;
    let request = UseRequest {
      id,
      preset: self.name.clone(),
      operator: author.operator,
      reason: author.reason,
      based_on,
    };
    let accepted = client.use_preset(&request).await?;
    self.node_options.render(&accepted, |accepted| {
      format!(
        "preset `{}` is in force from revision {}\n",
        self.name, accepted.revision
      )
    })
  }
}
