use {
  super::{
    Audit, CommandError, Drain, Preset, Quarantine, Status, Undrain, audit, drain, preset,
    quarantine, status, undrain,
  },
  bpaf::Bpaf,
  std::{
    io::{self, Write},
    process::ExitCode,
  },
  tokio::runtime::Builder,
};

/// Commands for operators, which ask a running node.
///
/// Exit codes: 0 done, 1 refused, conflict or failed, 2 usage, 3 node or platform not reachable.
#[derive(Bpaf, Clone, Debug)]
pub enum Operator {
  /// Lists, shows and changes presets
  #[bpaf(command)]
  Preset(#[bpaf(external(preset))] Preset),
  /// Shows the status of a node and its data centre
  #[bpaf(command)]
  Status(#[bpaf(external(status))] Status),
  /// Takes a node out of service without cutting off calls
  #[bpaf(command)]
  Drain(#[bpaf(external(drain))] Drain),
  /// Puts a drained node back into service
  #[bpaf(command)]
  Undrain(#[bpaf(external(undrain))] Undrain),
  /// Shows accepted changes, newest first
  #[bpaf(command)]
  Audit(#[bpaf(external(audit))] Audit),
  /// Lists and releases requests that crashed upstreams
  #[bpaf(command)]
  Quarantine(#[bpaf(external(quarantine))] Quarantine),
}

impl Operator {
  /// Runs the command and prints its output.
  pub fn run(self) -> ExitCode {
    match self.output() {
      Ok(text) => {
        // A write fails when the reader, such as `head`, has closed the pipe, which is not an
        // error.
        let _ = io::stdout().write_all(text.as_bytes());
        ExitCode::SUCCESS
      }
      Err(error) => {
        let _ = writeln!(io::stderr(), "cactusyoke: {error}");
        ExitCode::from(error.code())
      }
    }
  }

  /// Runs the command and returns its output.
  pub fn output(self) -> Result<String, CommandError> {
    let runtime = Builder::new_current_thread().enable_all().build();
    match runtime {
      Ok(runtime) => runtime.block_on(self.execute()),
      Err(error) => Err(CommandError::Runtime(error.to_string())),
    }
  }

  async fn execute(self) -> Result<String, CommandError> {
    match self {
      Self::Preset(command) => command.execute().await,
      Self::Status(command) => command.execute().await,
      Self::Drain(command) => command.execute().await,
      Self::Undrain(command) => command.execute().await,
      Self::Audit(command) => command.execute().await,
      Self::Quarantine(command) => command.execute().await,
    }
  }
}
