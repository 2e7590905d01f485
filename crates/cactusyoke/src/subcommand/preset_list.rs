use {
  super::{CommandError, NodeOptions, Table, node_options},
  bpaf::Bpaf,
  cactusyoke_operators::ConfigView,
};

/// `preset list`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct PresetList {
  #[bpaf(external)]
  node_options: NodeOptions,
}

impl PresetList {
  pub(super) async fn execute(self) -> Result<String, CommandError> {
    let config = self.node_options.client()?.config().await?;
    self.node_options.render(&config, to_text)
  }
}

fn to_text(config: &ConfigView) -> String {
  if config.presets.is_empty() {
    return "there are no presets: add one with `cactusyoke preset import FILE`\n".into();
  }
  let mut table = Table::new(&["PRESET", "IN FORCE", "ROUTES", "PURPOSE"]);
  for preset in &config.presets {
    let in_force = config.in_force.as_ref() == Some(&preset.name);
    table.row(vec![
      preset.name.to_string(),
      if in_force { "yes" } else { "no" }.into(),
      preset.routes.to_string(),
      preset.purpose.clone(),
    ]);
  }
  format!("revision {}\n\n{table}", config.revision)
}
