//! Admission policies compared on a simulated chain of services, against the design targets.
//!
//! `CACTUSYOKE_SEEDS` sets the number of arrival traces, three by default. `CACTUSYOKE_TABLE=1`
//! with `--nocapture` prints the figures of all policies.

mod policy {
  pub mod request;
  pub mod scenario;
  pub mod server;
  pub mod simulation;
  pub mod summary;
}

use {
  policy::{
    scenario::{Deployment, MERRIMACK, NORTHGATE, SCENARIOS, Scenario},
    server::{POLICIES, Policy},
    simulation::Simulation,
    summary::Summary,
  },
  std::time::Duration,
  yare::parameterized,
};

fn seeds() -> std::ops::RangeInclusive<u64> {
  let count = std::env::var("CACTUSYOKE_SEEDS")
    .ok()
    .and_then(|text| text.parse().ok());
  1..=count.unwrap_or(3)
}

fn run(
  deployment: Deployment,
  scenario: Scenario,
  (name, policy): (&str, Policy),
  seed: u64,
) -> Summary {
  let summary = Simulation::run(deployment, scenario, policy, seed);
  let deployment = deployment.name;
  let scenario = scenario.name;
  println!("{deployment} | {scenario} | {name} | {seed} | {summary}");
  summary
}

/// Guards against an adaptive policy that misses the design targets for goodput, the most important
/// class, wasted work or recovery time, or that sheds at normal load.
#[parameterized(
  merrimack_surge_2x = { MERRIMACK, SCENARIOS[0] },
  merrimack_surge_5x = { MERRIMACK, SCENARIOS[1] },
  merrimack_surge_10x = { MERRIMACK, SCENARIOS[2] },
  merrimack_slow = { MERRIMACK, SCENARIOS[3] },
  merrimack_retries = { MERRIMACK, SCENARIOS[4] },
  merrimack_all_at_once = { MERRIMACK, SCENARIOS[5] },
  northgate_surge_2x = { NORTHGATE, SCENARIOS[0] },
  northgate_surge_5x = { NORTHGATE, SCENARIOS[1] },
  northgate_surge_10x = { NORTHGATE, SCENARIOS[2] },
  northgate_slow = { NORTHGATE, SCENARIOS[3] },
  northgate_retries = { NORTHGATE, SCENARIOS[4] },
  northgate_all_at_once = { NORTHGATE, SCENARIOS[5] },
)]
fn adaptive_policy_meets_targets(deployment: Deployment, scenario: Scenario) {
  let mut misses = Vec::new();
  for seed in seeds() {
    let summary = run(deployment, scenario, POLICIES[2], seed);
    let [first, ..] = summary.answered_shares;
    let recovery = summary.recovery;
    let targets = [
      (summary.goodput >= 0.95, "goodput of 95%"),
      (summary.wasted < 0.03, "wasted work under 3%"),
      (
        first >= 0.999 || !summary.first_fits,
        "99.9% of the first class",
      ),
      (
        recovery.is_some_and(|time| time <= Duration::from_secs(1)),
        "recovery within 1 s",
      ),
      (summary.early_failures == 0, "nothing shed at normal load"),
    ];
    misses.extend(
      targets
        .into_iter()
        .filter(|(met, _)| !met)
        .map(|(_, target)| format!("seed {seed}: {target}: {summary}")),
    );
  }
  assert!(misses.is_empty(), "missed {misses:#?}");
}

/// Guards against a simulation so lenient that even the baseline policies meet the targets.
#[test]
fn baselines_miss_the_targets() {
  let print_all = std::env::var_os("CACTUSYOKE_TABLE").is_some();
  for deployment in [MERRIMACK, NORTHGATE] {
    for (index, scenario) in SCENARIOS.into_iter().enumerate() {
      for policy in POLICIES {
        let baseline = !matches!(policy, (_, Policy::Adaptive(_)));
        let slow_baseline = index == 3 && baseline;
        if !(print_all || slow_baseline) {
          continue;
        }
        let summary = run(deployment, scenario, policy, 1);
        let [first, ..] = summary.answered_shares;
        assert!(!baseline || first < 0.6, "{summary}");
      }
    }
  }
}
