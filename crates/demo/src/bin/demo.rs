//! `demo`: an overload on loopback, with and without cactusyoke.

use {cactusyoke_demo::Args, std::process::ExitCode};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
  cactusyoke_demo::run(&Args::parse())
}
