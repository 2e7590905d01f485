//! Measures the membership in simulated time.
//!
//! `cargo run --release -p cactusyoke-decisions --example membership [-- MEMBERS... | -- loss]`

use {
  cactusyoke_decisions::membership::{Status, UpstreamState},
  simulation::{Node, Simulation, address, own},
  std::{env, time::Duration},
};

#[path = "../tests/simulation/mod.rs"]
mod simulation;

const LIMIT: Duration = Duration::from_mins(10);
const STEADY: u32 = 60;
const STEP: Duration = Duration::from_millis(100);
const CRASHES: usize = 5;
const SEEDS: u64 = 5;

/// Runs until `reached`; the time it took.
fn until(simulation: &mut Simulation, reached: impl Fn(&Simulation) -> bool) -> Duration {
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

fn reset(simulation: &mut Simulation) {
  for node in &mut simulation.nodes {
    (node.sent, node.received, node.peak) = (0, 0, 0);
  }
}

fn seconds(times: &[Duration]) -> (f64, f64) {
  let sum = times.iter().sum::<Duration>();
  let max = times.iter().max().copied().unwrap_or_default();
  (sum.as_secs_f64() / times.len() as f64, max.as_secs_f64())
}

fn peak(simulation: &Simulation) -> u64 {
  let peaks = simulation.nodes.iter().map(|node| node.peak);
  peaks.max().unwrap_or_default()
}

/// Nodes that started together and agree.
fn start(count: usize) -> Simulation {
  let mut simulation = Simulation::new(1);
  simulation.checked = false;
  for index in 0..count {
    simulation.add("east", &[0, 1, 2]);
    simulation.set_upstream(index, own(index % 30, UpstreamState::Serving));
  }
  let together = simulation.converge(LIMIT).expect("agreement");
  println!(
    "members={count} start_together_s={:.1} peak_bytes_per_s={}",
    together.as_secs_f64(),
    peak(&simulation)
  );
  simulation
}

fn steady(simulation: &mut Simulation) {
  let count = simulation.nodes.len();
  simulation.run(Duration::from_secs(30));
  reset(simulation);
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

fn crashes(simulation: &mut Simulation) {
  let count = simulation.nodes.len();
  let (mut first, mut all) = (Vec::new(), Vec::new());
  reset(simulation);
  for victim in 3..3 + CRASHES {
    simulation.nodes[victim].up = false;
    let running = simulation.running();
    let begun = simulation.now;
    until(simulation, |simulation| {
      running.iter().any(|at| is_dead(simulation, *at, victim))
    });
    first.push(simulation.now - begun);
    until(simulation, |simulation| {
      running.iter().all(|at| is_dead(simulation, *at, victim))
    });
    all.push(simulation.now - begun);
  }
  let (first, all) = (seconds(&first), seconds(&all));
  println!(
    "members={count} crash: first_s_mean={:.1} first_s_max={:.1} all_s_mean={:.1} all_s_max={:.1} peak_bytes_per_s={}",
    first.0,
    first.1,
    all.0,
    all.1,
    peak(simulation)
  );
}

fn changes(simulation: &mut Simulation) {
  let count = simulation.nodes.len();
  simulation.restart(3, Duration::ZERO);
  let joined = until(simulation, |simulation| simulation.agrees(3));
  let known = simulation.converge(LIMIT).expect("agreement") + joined;
  simulation.set_upstream(0, own(1, UpstreamState::Draining));
  let drained = simulation.converge(LIMIT).expect("agreement");
  println!(
    "members={count} restart: knows_all_s={:.1} known_to_all_s={:.1} drain_known_s={:.1}",
    joined.as_secs_f64(),
    known.as_secs_f64(),
    drained.as_secs_f64()
  );
}

fn rack(simulation: &mut Simulation) {
  let count = simulation.nodes.len();
  reset(simulation);
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

/// False deaths and refutations of `count` nodes that lose a share of all datagrams.
fn loss(count: usize, share: f64) {
  let (mut deaths, mut refutations) = (0, 0);
  for seed in 0..SEEDS {
    let mut simulation = Simulation::new(seed);
    simulation.checked = false;
    for index in 0..count {
      simulation.add("east", &[0, 1, 2]);
      simulation.set_upstream(index, own(index % 30, UpstreamState::Serving));
    }
    simulation.converge(LIMIT).expect("agreement");
    let versions = |simulation: &Simulation| {
      let nodes = simulation.nodes.iter();
      nodes
        .map(|node| node.members.own_record().version)
        .sum::<u64>()
    };
    let before = versions(&simulation);
    simulation.loss = share;
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
        loss(count, share);
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
    steady(&mut simulation);
    crashes(&mut simulation);
    changes(&mut simulation);
    rack(&mut simulation);
  }
}
