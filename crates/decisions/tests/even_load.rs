//! Spread of load among the instances of a service, when the senders choose on old figures.
//!
//! The first two tests compare the router with and without calls that are handed back; `table`
//! prints the figures of the design note.

#[path = "even_load/choosers.rs"]
mod choosers;
#[path = "even_load/simulation.rs"]
mod simulation;

use {
  choosers::{Chooser, Way},
  simulation::{Measured, Scenario, Simulation},
  yare::parameterized,
};

/// Instances with the speeds of the weakest deployments, at two thirds of their capacity with waves
/// and bursts, each slowed by a neighbour 15 in 100 of the time.
fn scenario(senders: usize, work: f64, seed: u64) -> Scenario {
  Scenario {
    senders,
    instances: 24,
    slots: 22,
    speeds: &[0.55, 0.7, 1.0, 1.2, 1.6],
    neighbours: true,
    work,
    load: 0.65,
    seconds: if work > 0.2 { 34.0 } else { 18.0 },
    seed,
  }
}

fn measure(scenario: &Scenario, way: Way, hands_back: bool, riders: usize) -> Measured {
  let mut chooser = Chooser::new(way, hands_back, riders, scenario);
  Simulation::new(scenario.clone()).run(&mut chooser)
}

/// Guards against instances that are overrun in turn while others have room: hundreds of nodes that
/// choose by figures seconds old are corrected by the node beside the instance.
#[parameterized(
  few_senders = { 12, 1 },
  few_senders_other_seed = { 12, 2 },
  deployment = { 83, 1 },
  deployment_other_seed = { 83, 2 },
  many_senders = { 1000, 1 },
)]
fn handing_calls_back_evens_load(senders: usize, seed: u64) {
  let scenario = scenario(senders, 0.1, seed);
  let sampled = measure(&scenario, Way::Today, false, 0);
  let even = measure(&scenario, Way::Today, true, 0);
  let context = format!("{sampled:?} {even:?}");
  assert!(
    even.spread - 1.0 <= (sampled.spread - 1.0) * 0.6,
    "{context}"
  );
  assert!(
    even.needless_waits <= sampled.needless_waits / 4.0,
    "{context}"
  );
  assert!(even.overruns <= sampled.overruns / 4.0, "{context}");
  assert!(even.mean_time < sampled.mean_time, "{context}");
}

/// The target: half of the former spread, and within 1.25 of what exact figures give. Missed with
/// few senders (KNOWN-RED.txt).
#[parameterized(
  few_senders = { 12, 1 },
  few_senders_other_seed = { 12, 2 },
  deployment = { 83, 1 },
  deployment_other_seed = { 83, 2 },
  many_senders = { 1000, 1 },
)]
fn load_is_nearly_as_even_as_with_exact_figures(senders: usize, seed: u64) {
  let scenario = scenario(senders, 0.1, seed);
  let sampled = measure(&scenario, Way::Today, false, 0);
  let even = measure(&scenario, Way::Today, true, 0);
  let exact = measure(&scenario, Way::Exact, false, 0);
  let context = format!("{sampled:?} {even:?} {exact:?}");
  assert!(
    even.spread - 1.0 <= (sampled.spread - 1.0) * 0.5,
    "{context}"
  );
  assert!(even.spread <= exact.spread * 1.25, "{context}");
}

/// Guards against calls that are passed around while no instance has room for them.
#[test]
fn a_full_service_gets_each_call_at_most_twice_more() {
  let full = Scenario {
    load: 1.3,
    seconds: 6.0,
    ..scenario(83, 0.1, 1)
  };
  let even = measure(&full, Way::Today, true, 0);
  assert!(even.handed_back <= 2.0, "{even:?}");
}

#[test]
#[ignore = "prints the table of the design note; takes half a minute in a release build"]
fn table() {
  let ways = [
    ("two choices, as before", Way::Today, false, 0),
    ("the same, calls handed back", Way::Today, true, 0),
    ("exact figures", Way::Exact, false, 0),
    ("own sends added", Way::Own, false, 0),
    ("own sends, weighted by age", Way::Aged, false, 0),
    ("the same, figures ride along", Way::Aged, false, 2),
    ("weighted by age, handed back", Way::Aged, true, 0),
    ("subset of eight", Way::Subset, false, 0),
    ("room granted", Way::Granted, false, 0),
  ];
  for senders in [12, 83, 1000] {
    for work in [0.03, 0.1, 0.4] {
      println!("senders {senders}, work {work} s");
      for (name, way, hands_back, riders) in ways {
        let runs =
          [1, 2].map(|seed| measure(&scenario(senders, work, seed), way, hands_back, riders));
        let mean = |read: fn(&Measured) -> f64| runs.iter().map(read).sum::<f64>() / 2.0;
        println!(
          "| {name} | {:.2} | {:.3} | {:.3} | {:.2} | {:.1} | {:.2} | {:.2} |",
          mean(|run| run.spread),
          mean(|run| run.needless_waits),
          mean(|run| run.overruns),
          mean(|run| run.mean_time),
          mean(|run| run.slow_time),
          mean(|run| run.handed_back),
          mean(|run| run.age),
        );
      }
    }
  }
}
