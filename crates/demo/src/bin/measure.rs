//! `measure`: latency that nodes add to a call, throughput of a node at saturation, and the cost of
//! control.

use {
  bpaf::Bpaf,
  cactusyoke_demo::{FleetError, NodeCounts, measure_control, measure_latency},
  std::process::ExitCode,
};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Measures nodes on loopback
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Options {
  /// Bytes, processor time, memory, platform calls and delays of control, without calls
  #[bpaf(command)]
  Control {
    /// Numbers of nodes, 3 to 400 each; up to 100 are processes, more run in this process
    #[bpaf(argument("N,N"), fallback(NodeCounts(vec![10, 30, 100])), display_fallback)]
    nodes: NodeCounts,
    /// Services in the preset, 1 to 300
    #[bpaf(
      argument("N"),
      guard(in_range, "use 1 to 300 services"),
      fallback(300),
      display_fallback
    )]
    services: u16,
  },
  /// Time that nodes add to a call, beside direct calls in the same run
  Latency {
    /// Length of the part at 400 calls/s
    #[bpaf(argument("N"), fallback(10), display_fallback)]
    seconds: u64,
  },
}

#[expect(
  clippy::trivially_copy_pass_by_ref,
  reason = "the parser passes a reference"
)]
fn in_range(services: &u16) -> bool {
  (1..=300).contains(services)
}

async fn measure(options: Options) -> Result<(), FleetError> {
  match options {
    Options::Control { nodes, services } => measure_control(&nodes, services).await,
    Options::Latency { seconds } => measure_latency(seconds).await,
  }
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
  match runtime.block_on(measure(options)) {
    Ok(()) => ExitCode::SUCCESS,
    Err(error) => {
      eprintln!("error: {error}");
      ExitCode::FAILURE
    }
  }
}
