//! The `cactusyoke` command.

use {cactusyoke::Command, std::process::ExitCode};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
  match Command::parse() {
    Ok(command) => command.run(),
    Err(code) => code,
  }
}
