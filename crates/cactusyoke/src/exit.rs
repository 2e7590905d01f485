//! Error messages on standard error, and exit codes that scripts can rely on.

use std::{fmt::Display, process::ExitCode};

/// Exit code when the node or the command failed.
const FAILURE: u8 = 1;

/// Exit code when the command line, the settings or a preset is wrong.
const USAGE: u8 = 2;

/// Prints a failure and returns its exit code.
pub(crate) fn failure(message: &impl Display) -> ExitCode {
  eprintln!("error: {message}");
  ExitCode::from(FAILURE)
}

/// Prints an input error and returns its exit code.
pub(crate) fn usage(message: &impl Display) -> ExitCode {
  eprintln!("error: {message}");
  ExitCode::from(USAGE)
}
