//! The `cactusyoke` command.

use {cactusyoke::Command, std::process::ExitCode};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
  Command::parse().run()
}
