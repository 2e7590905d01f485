use {
  bpaf::ParseFailure,
  std::{
    io::{self, Write},
    process::ExitCode,
  },
};

/// Exit code for an invalid command line. `bpaf` itself would exit with 1, which means a refusal
/// here.
const USAGE: u8 = 2;

/// Prints the error in a command line, or the help or completion that was requested.
pub fn report_failure(failure: ParseFailure) -> ExitCode {
  match failure {
    ParseFailure::Stdout(help, full) => print(&help.monochrome(full)),
    ParseFailure::Completion(text) => print(&text),
    ParseFailure::Stderr(error) => {
      let error = error.monochrome(true);
      let _ = writeln!(io::stderr(), "cactusyoke: {}", error.trim_end());
      ExitCode::from(USAGE)
    }
  }
}

fn print(text: &str) -> ExitCode {
  // A write fails when the reader, such as `head`, has closed the pipe, which is not an error.
  let _ = io::stdout().write_all(text.as_bytes());
  ExitCode::SUCCESS
}
