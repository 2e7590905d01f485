//! Help and usage errors of the operators' commands, compared word for word with
//! `operator_help.txt`.

use {
  bpaf::{ParseFailure, Parser},
  cactusyoke::subcommand::{operator, report_failure},
  std::process::ExitCode,
};

const EXPECTED: &str = include_str!("operator_help.txt");
const PROMPT: &str = "$ cactusyoke ";

fn message(line: &str) -> String {
  let words = line.split(' ').collect::<Vec<_>>();
  let args = bpaf::Args::from(words.as_slice()).set_name("cactusyoke");
  match operator().to_options().run_inner(args).unwrap_err() {
    ParseFailure::Stdout(help, full) => help.monochrome(full),
    ParseFailure::Stderr(error) => error.monochrome(true),
    ParseFailure::Completion(text) => text,
  }
}

/// Guards against options that disappear or change unnoticed.
#[test]
fn help_and_errors_are_as_written() {
  let commands = EXPECTED
    .lines()
    .filter_map(|line| line.strip_prefix(PROMPT));
  let found = commands.map(|command| {
    let message = message(command);
    format!("{PROMPT}{command}\n{}\n\n", message.trim_end())
  });
  let found = found.collect::<Vec<_>>().concat();
  assert_eq!(found, EXPECTED, "found:\n{found}");
}

/// Guards against usage errors that scripts cannot distinguish from refusals by the exit code.
#[test]
fn help_exits_0_and_usage_errors_exit_2() {
  for (word, expected) in [("--help", ExitCode::SUCCESS), ("staus", ExitCode::from(2))] {
    let words = [word];
    let failure = operator()
      .to_options()
      .run_inner(words.as_slice())
      .unwrap_err();
    assert_eq!(report_failure(failure), expected);
  }
}
