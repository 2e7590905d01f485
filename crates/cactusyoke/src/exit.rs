//! How the command ends: a message on standard error and a code that scripts can rely on.

use std::{fmt::Display, process::ExitCode};

/// The node or the command failed.
const FAILURE: u8 = 1;

/// The command line, the settings or a preset are wrong.
const USAGE: u8 = 2;

/// Reports a failure.
pub(crate) fn failure(message: &impl Display) -> ExitCode {
  eprintln!("error: {message}");
  ExitCode::from(FAILURE)
}

/// Reports wrong input.
pub(crate) fn usage(message: &impl Display) -> ExitCode {
  eprintln!("error: {message}");
  ExitCode::from(USAGE)
}
