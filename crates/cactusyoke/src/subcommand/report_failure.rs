use {
  bpaf::ParseFailure,
  std::{
    io::{self, Write},
    process::ExitCode,
  },
};

/// Exit code of a command line that cannot be read; `bpaf` by itself exits with 1, which stands for
/// a refusal here.
const USAGE: u8 = 2;

/// Prints why a command line was not run, or the help that it asked for.
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
  // A reader that has gone away, such as `head`, needs no message.
  let _ = io::stdout().write_all(text.as_bytes());
  ExitCode::SUCCESS
}
