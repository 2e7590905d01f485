use {
  super::{
    CommandError, PresetEdit, PresetImport, PresetList, PresetShow, PresetUse, preset_edit,
    preset_import, preset_list, preset_show, preset_use,
  },
  bpaf::Bpaf,
};

/// Commands for presets.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub enum Preset {
  /// Lists presets and the one in force
  #[bpaf(command)]
  List(#[bpaf(external(preset_list))] PresetList),
  /// Prints a preset as YAML, with the revision to give to edit
  #[bpaf(command)]
  Show(#[bpaf(external(preset_show))] PresetShow),
  /// Puts a preset in force in all data centres
  #[bpaf(command)]
  Use(#[bpaf(external(preset_use))] PresetUse),
  /// Replaces a preset; one in force changes at once
  #[bpaf(command)]
  Edit(#[bpaf(external(preset_edit))] PresetEdit),
  /// Adds a preset from a YAML file
  #[bpaf(command)]
  Import(#[bpaf(external(preset_import))] PresetImport),
}

impl Preset {
  pub(super) async fn execute(self) -> Result<String, CommandError> {
    match self {
      Self::List(command) => command.execute().await,
      Self::Show(command) => command.execute().await,
      Self::Use(command) => command.execute().await,
      Self::Edit(command) => command.execute().await,
      Self::Import(command) => command.execute().await,
    }
  }
}
