use {
  super::{CommandError, NodeOptions, node_options},
  bpaf::Bpaf,
  cactusyoke_model::PresetName,
};

/// `preset show`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct PresetShow {
  #[bpaf(external)]
  node_options: NodeOptions,
  /// Name of the preset
  #[bpaf(positional("PRESET"))]
  name: PresetName,
}

impl PresetShow {
  pub(super) async fn execute(self) -> Result<String, CommandError> {
    let view = self.node_options.client()?.preset(&self.name).await?;
    let yaml = serde_yaml_ng::to_string(&view.preset)
      .map_err(|error| CommandError::Output(error.to_string()))?;
    self.node_options.render(&view, |view| {
      format!("# revision {}\n{yaml}", view.revision)
    })
  }
}
