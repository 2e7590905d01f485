//! The command line.

use {
  crate::subcommand::{Operator, check, node, operator, report_failure},
  bpaf::{Args, Bpaf},
  std::{path::PathBuf, process::ExitCode},
};

/// Overload control for service call graphs
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, generate(command_line))]
pub enum Command {
  /// Run the node beside an upstream instance
  #[bpaf(command)]
  Node {
    /// Settings of the node, YAML
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
  },
  /// Check settings and presets without starting anything
  #[bpaf(command)]
  Check {
    /// Settings of a node, YAML
    #[bpaf(argument("FILE"), optional)]
    settings: Option<PathBuf>,
    /// Preset, YAML; may be given more than once
    #[bpaf(argument("FILE"))]
    preset: Vec<PathBuf>,
  },
  /// Commands that ask a running node
  Operator(#[bpaf(external(operator))] Operator),
}

impl Command {
  /// Parses the command line. Prints the help or error otherwise, and returns its exit code.
  pub fn parse() -> Result<Self, ExitCode> {
    command_line()
      .run_inner(Args::current_args())
      .map_err(report_failure)
  }

  /// Runs the command.
  pub fn run(self) -> ExitCode {
    match self {
      Self::Node { settings } => node::run(&settings),
      Self::Check { settings, preset } => check::run(settings.as_deref(), &preset),
      Self::Operator(operator) => operator.run(),
    }
  }
}
