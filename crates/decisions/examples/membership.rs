//! Measures traffic and propagation times of the membership protocol in simulated time.
//!
//! `cargo run --release -p cactusyoke-decisions --example membership [-- MEMBERS... | -- loss]`

use {
  cactusyoke_decisions::membership::{Status, UpstreamState},
  simulation::{Node, Simulation, address, upstream},
  std::{env, time::Duration},
};

#[path = "../tests/simulation/mod.rs"]
mod simulation;

/// Time allowed for each state to be reached.
const LIMIT: Duration = Duration::from_mins(10);
/// Time for which steady traffic is measured, seconds.
const STEADY: u32 = 60;
/// Interval between checks, which is the resolution of the measured times.
const STEP: Duration = Duration::from_millis(100);
/// Nodes crashed one after the other.
const CRASHES: usize = 5;
/// Runs for each share of lost datagrams.
const SEEDS: u64 = 5;

/// Runs until `reached` and returns the time it took.
fn run_until(simulation: &mut Simulation, reached: impl Fn(&Simulation) -> bool) -> Duration {
  let start = simulation.now;
  while !reached(simulation) && simulation.now - start < LIMIT {
    simulation.run(STEP);
  }
  simulation.now - start
}

fn is_dead(simulation: &Simulation, at: usize, of: usize) -> bool {
  let member = simulation.nodes[at].members.get(address(of));
  member.is_some_and(|member| member.status == Status::Dead)
}

fn reset_traffic(simulation: &mut Simulation) {
  for node in &mut simulation.nodes {
    (node.sent, node.received, node.peak) = (0, 0, 0);
  }
}

/// Mean and maximum of the times, seconds.
fn mean_and_max(times: &[Duration]) -> (f64, f64) {
  let sum = times.iter().sum::<Duration>();
  let max = times.iter().max().copied().unwrap_or_default();
  (sum.as_secs_f64() / times.len() as f64, max.as_secs_f64())
}

/// Most bytes that any node sent in one second.
fn peak(simulation: &Simulation) -> u64 {
  let peaks = simulation.nodes.iter().map(|node| node.peak);
  peaks.max().unwrap_or_default()
}

/// Starts `count` nodes together and runs until their views agree.
fn start(count: usize) -> Simulation {
  let mut simulation = Simulation::new(1);
  simulation.check_views = false;
  for index in 0..count {
    simulation.add("east", &[0, 1, 2]);
    simulation.set_upstream(index, upstream(index % 30, UpstreamState::Serving));
  }
  let together = simulation.converge(LIMIT).expect("agreement");
  println!(
    "members={count} start_together_s={:.1} peak_bytes_per_s={}",
    together.as_secs_f64(),
    peak(&simulation)
  );
  simulation
}

/// Measures the traffic without changes.
fn measure_steady(simulation: &mut Simulation) {
  let count = simulation.nodes.len();
  simulation.run(Duration::from_secs(30));
  reset_traffic(simulation);
  simulation.run(Duration::from_secs(1) * STEADY);
  let rate = |bytes: u64| bytes as f64 / f64::from(STEADY);
  let nodes = &simulation.nodes;
  let sent = nodes.iter().map(|node| rate(node.sent)).sum::<f64>();
  let most = nodes.iter().map(|node| rate(node.sent + node.received));
  println!(
    "members={count} steady: sent_bytes_per_s={:.0} both_ways_max_bytes_per_s={:.0} peak_bytes_per_s={}",
    sent / count as f64,
    most.fold(0.0, f64::max),
    peak(simulation)
  );
}

/// Measures the time from a crash until the first and until all nodes consider the node dead.
fn measure_crashes(simulation: &mut Simulation) {
  let count = simulation.nodes.len();
  let (mut first, mut all) = (Vec::new(), Vec::new());
  reset_traffic(simulation);
  for victim in 3..3 + CRASHES {
    simulation.nodes[victim].up = false;
    let running = simulation.running();
    let begun = simulation.now;
    run_until(simulation, |simulation| {
      running.iter().any(|at| is_dead(simulation, *at, victim))
    });
    first.push(simulation.now - begun);
    run_until(simulation, |simulation| {
      running.iter().all(|at| is_dead(simulation, *at, victim))
    });
    all.push(simulation.now - begun);
  }
  let (first, all) = (mean_and_max(&first), mean_and_max(&all));
  println!(
    "members={count} crash: first_s_mean={:.1} first_s_max={:.1} all_s_mean={:.1} all_s_max={:.1} peak_bytes_per_s={}",
    first.0,
    first.1,
    all.0,
    all.1,
    peak(simulation)
  );
}

/// Measures how fast a restarted node and a drain become known.
fn measure_changes(simulation: &mut Simulation) {
  let count = simulation.nodes.len();
  simulation.restart(3, Duration::ZERO);
  let joined = run_until(simulation, |simulation| simulation.agrees(3));
  let known = simulation.converge(LIMIT).expect("agreement") + joined;
  simulation.set_upstream(0, upstream(1, UpstreamState::Draining));
  let drained = simulation.converge(LIMIT).expect("agreement");
  println!(
    "members={count} restart: knows_all_s={:.1} known_to_all_s={:.1} drain_known_s={:.1}",
    joined.as_secs_f64(),
    known.as_secs_f64(),
    drained.as_secs_f64()
  );
}

/// Measures the time to detect the crash of a thirtieth of the nodes at once.
fn measure_rack(simulation: &mut Simulation) {
  let count = simulation.nodes.len();
  reset_traffic(simulation);
  let running = simulation.running().into_iter();
  let victims = running
    .skip(3)
    .take((count / 30).max(1))
    .collect::<Vec<_>>();
  for victim in &victims {
    simulation.nodes[*victim].up = false;
  }
  let detected = simulation.converge(LIMIT).expect("agreement");
  println!(
    "members={count} rack: crashed={} all_s={:.1} peak_bytes_per_s={}",
    victims.len(),
    detected.as_secs_f64(),
    peak(simulation)
  );
}

/// Measures false deaths and refutations among `count` nodes that lose a share of all datagrams.
fn measure_loss(count: usize, share: f64) {
  let (mut deaths, mut refutations) = (0, 0);
  for seed in 0..SEEDS {
    let mut simulation = Simulation::new(seed);
    simulation.check_views = false;
    for index in 0..count {
      simulation.add("east", &[0, 1, 2]);
      simulation.set_upstream(index, upstream(index % 30, UpstreamState::Serving));
    }
    simulation.converge(LIMIT).expect("agreement");
    let versions = |simulation: &Simulation| {
      let nodes = simulation.nodes.iter();
      nodes
        .map(|node| node.members.own_record().version)
        .sum::<u64>()
    };
    let before = versions(&simulation);
    simulation.loss_rate = share;
    simulation.run(Duration::from_mins(2));
    refutations += versions(&simulation) - before;
    let raised = |node: &&Node| node.members.own_record().incarnation != node.config.incarnation;
    deaths += simulation.nodes.iter().filter(raised).count();
  }
  println!(
    "members={count} loss={share} node_minutes={} nodes_declared_dead={deaths} refutations={refutations}",
    count * SEEDS as usize * 2
  );
}

fn main() {
  if env::args().nth(1).is_some_and(|arg| arg == "loss") {
    for share in [0.1, 0.2, 0.3] {
      for count in [5, 20, 100] {
        measure_loss(count, share);
      }
    }
    return;
  }
  let counts = env::args()
    .skip(1)
    .map(|arg| arg.parse().expect("a number of members"))
    .collect::<Vec<usize>>();
  let counts = if counts.is_empty() {
    vec![10, 30, 100, 300, 1200]
  } else {
    counts
  };
  for count in counts {
    let mut simulation = start(count);
    measure_steady(&mut simulation);
    measure_crashes(&mut simulation);
    measure_changes(&mut simulation);
    measure_rack(&mut simulation);
  }
}
