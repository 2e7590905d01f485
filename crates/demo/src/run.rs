use {
  crate::{Args, Deployment, Fleet, FleetError, RunResult, print},
  cactusyoke_standins::load::{LoadConfig, Progress, Segment},
  std::{process::ExitCode, sync::Arc, time::Duration},
  tokio::time::interval,
};

/// Shares of the run's length before, during and after the surge.
const PHASE_SHARES: [f64; 3] = [0.2, 0.4, 0.4];

/// Most requests of one run, not counting retries.
const MAX_REQUESTS: u64 = 1_000_000;

/// Runs the demonstration; fails when it cannot run or an invariant did not hold with cactusyoke.
pub fn run(args: &Args) -> ExitCode {
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
  match runtime.block_on(run_both(args)) {
    Ok((with_nodes, baseline)) => {
      print(&with_nodes, &baseline);
      if with_nodes.violations.is_empty() {
        ExitCode::SUCCESS
      } else {
        ExitCode::FAILURE
      }
    }
    Err(error) => {
      eprintln!("error: {error}");
      ExitCode::FAILURE
    }
  }
}

async fn run_both(args: &Args) -> Result<(RunResult, RunResult), FleetError> {
  let deployment = args.deployment.deployment();
  println!(
    "{}: starting stand-ins and nodes on loopback",
    args.deployment
  );
  let fleet = Fleet::with_nodes(&deployment).await?;
  let with_nodes = run_load("cactusyoke", fleet, &deployment, args).await;
  let fleet = Fleet::with_baseline(&deployment).await?;
  let baseline = run_load("no control", fleet, &deployment, args).await;
  Ok((with_nodes, baseline))
}

async fn run_load(
  name: &'static str,
  fleet: Fleet,
  deployment: &Deployment,
  args: &Args,
) -> RunResult {
  let length = Duration::from_secs(args.seconds);
  let lengths = PHASE_SHARES.map(|share| length.mul_f64(share));
  let rates = [
    deployment.rate,
    deployment.rate * deployment.surge,
    deployment.rate,
  ];
  let progress = Arc::<Progress>::default();
  let config = LoadConfig {
    targets: fleet.targets.clone(),
    classes: deployment.classes.clone(),
    trace: lengths
      .into_iter()
      .zip(rates)
      .map(|(duration, rate)| Segment { duration, rate })
      .collect(),
    seed: args.seed,
    max_requests: MAX_REQUESTS,
    progress: Arc::clone(&progress),
  };
  let printer = tokio::spawn(print_progress(name, progress, lengths, rates));
  let report = cactusyoke_standins::load::run(config).await;
  printer.abort();
  let surge = (lengths[0], lengths[0] + lengths[1]);
  let result = RunResult::new(&deployment.classes, &report, &fleet.runs, surge);
  fleet.stop().await;
  result
}

/// Prints the rates of the last second, once a second.
async fn print_progress(
  name: &'static str,
  progress: Arc<Progress>,
  lengths: [Duration; 3],
  rates: [f64; 3],
) {
  let mut ticks = interval(Duration::from_secs(1));
  ticks.tick().await;
  let mut last = progress.counts();
  let mut second = 0;
  loop {
    ticks.tick().await;
    second += 1;
    let counts = progress.counts();
    let now = Duration::from_millis(second * 1000 - 500);
    println!(
      "{name:<12} {second:>3} s  sent {:>5.0}/s  answered {:>5}/s  not run {:>5}/s  other {:>5}/s",
      rate_at(now, lengths, rates),
      counts.0 - last.0,
      counts.1 - last.1,
      counts.2 - last.2
    );
    last = counts;
  }
}

fn rate_at(now: Duration, lengths: [Duration; 3], rates: [f64; 3]) -> f64 {
  if now < lengths[0] {
    rates[0]
  } else if now < lengths[0] + lengths[1] {
    rates[1]
  } else if now < lengths[0] + lengths[1] + lengths[2] {
    rates[2]
  } else {
    0.0
  }
}
