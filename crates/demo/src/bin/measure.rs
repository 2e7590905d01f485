//! `measure`: time that nodes add to a call, their saturation and what an idle node uses.

use {bpaf::Bpaf, std::process::ExitCode};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Measures node processes on loopback, beside direct calls in the same run
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
  /// Length of the part at 400 calls/s
  #[bpaf(argument("N"), fallback(10), display_fallback)]
  seconds: u64,
}

fn main() -> ExitCode {
  let options = options().run();
  let runtime = match tokio::runtime::Builder::new_multi_thread()
    .enable_all()
    .build()
  {
    Ok(runtime) => runtime,
    Err(error) => {
      eprintln!("error: cannot start the runtime: {error}");
      return ExitCode::FAILURE;
    }
  };
  match runtime.block_on(cactusyoke_demo::measure_latency(options.seconds)) {
    Ok(()) => ExitCode::SUCCESS,
    Err(error) => {
      eprintln!("error: {error}");
      ExitCode::FAILURE
    }
  }
}
