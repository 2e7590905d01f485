use {
  super::{
    Author, CommandError, NodeOptions, author,
    change_options::{new_id, parse_id, parse_revision},
    node_options,
  },
  bpaf::Bpaf,
  cactusyoke_model::{ChangeId, Preset, RawPreset, Revision},
  cactusyoke_operators::PutRequest,
  std::{
    fs,
    path::{Path, PathBuf},
  },
};

/// `preset edit`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct PresetEdit {
  #[bpaf(external)]
  node_options: NodeOptions,
  #[bpaf(external)]
  author: Author,
  /// Revision that the file is based on, as preset show printed it
  #[bpaf(argument::<String>("REVISION"), parse(|text| parse_revision(&text)))]
  revision: u64,
  /// Id of a change that was not confirmed, to repeat it
  #[bpaf(argument::<String>("ID"), parse(|text| parse_id(&text)), optional)]
  id: Option<ChangeId>,
  /// YAML file with the whole preset
  #[bpaf(positional("FILE"))]
  file: PathBuf,
}

impl PresetEdit {
  pub(super) async fn execute(self) -> Result<String, CommandError> {
    let client = self.node_options.client()?;
    let author = self.author.attribution()?;
    let preset = read_preset(&self.file)?;
    // Fails for an unknown name, which is more likely a typing error than a new preset.
    let name = client.preset(&preset.name).await?.preset.name;
    let request = PutRequest {
      id: self.id.unwrap_or_else(new_id),
      preset,
      operator: author.operator,
      reason: author.reason,
      based_on: Revision(self.revision),
    };
    let accepted = client.put_preset(&request).await?;
    self.node_options.render(&accepted, |accepted| {
      format!(
        "preset `{name}` is replaced from revision {}\n",
        accepted.revision
      )
    })
  }
}

/// Reads a preset file and checks it before anything is sent.
pub(super) fn read_preset(file: &Path) -> Result<RawPreset, CommandError> {
  let text =
    fs::read_to_string(file).map_err(|error| CommandError::File(file.into(), error.to_string()))?;
  match text.parse::<Preset>() {
    Ok(preset) => Ok(preset.raw().clone()),
    Err(error) => Err(CommandError::Preset(file.into(), error)),
  }
}
