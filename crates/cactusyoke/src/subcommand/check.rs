use {
  crate::{Settings, exit},
  cactusyoke_model::Preset,
  std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
  },
};

/// Checks settings and presets without starting anything.
pub(crate) fn run(settings: Option<&Path>, presets: &[PathBuf]) -> ExitCode {
  if settings.is_none() && presets.is_empty() {
    return exit::usage(&"nothing to check: name a file with `--settings` or `--preset`");
  }
  if let Some(path) = settings {
    match Settings::load(path) {
      Ok(settings) => println!(
        "{}: settings of node {} in data centre {} are correct",
        path.display(),
        settings.node,
        settings.centre
      ),
      Err(error) => return exit::usage(&error),
    }
  }
  for path in presets {
    match read_preset(path) {
      Ok(preset) => println!(
        "{}: preset {} with {} classes and {} routes is correct",
        path.display(),
        preset.name,
        preset.classes.len(),
        preset.routes.len()
      ),
      Err(message) => return exit::usage(&message),
    }
  }
  ExitCode::SUCCESS
}

fn read_preset(path: &Path) -> Result<Preset, String> {
  let text = fs::read_to_string(path).map_err(|error| {
    format!(
      "cannot read preset file `{}`: {error}: check the path and its permissions",
      path.display()
    )
  })?;
  text
    .parse()
    .map_err(|error| format!("`{}`: {error}", path.display()))
}
