//! Random histories of a group, checked by the oracle.

mod keys_cluster;

use {
  keys_cluster::{Cluster, Machine, NODES},
  proptest::{
    strategy::{Strategy, ValueTree},
    test_runner::{Config, RngSeed, TestRunner},
  },
  proptest_state_machine::{ReferenceStateMachine, prop_state_machine},
};

fn config() -> Config {
  let cases = std::env::var("CACTUSYOKE_CASES")
    .ok()
    .and_then(|cases| cases.parse().ok());
  Config {
    cases: cases.unwrap_or(500),
    rng_seed: RngSeed::Fixed(0x6361_6374),
    failure_persistence: None,
    max_shrink_iters: 20_000,
    ..Config::default()
  }
}

prop_state_machine! {
  #![proptest_config(config())]

  /// Guards against a second run of a key, a run after its report as not run, and a group that
  /// refuses keys for good.
  #[test]
  fn a_key_runs_at_most_once(sequential 1..150 => Machine);
}

/// Guards against histories that prove nothing because little happens in them.
#[test]
fn histories_run_keys_under_several_rosters() {
  let mut runner = TestRunner::new(config());
  let histories = Machine::sequential_strategy(150..=150);
  let (mut ran, mut later, mut conflicts) = (0, 0, 0);
  for _ in 0..200 {
    let tree = histories.new_tree(&mut runner).expect("a history");
    let (members, events, _) = tree.current();
    let mut cluster = Cluster::new(NODES, members.0, None);
    for event in &events {
      cluster.apply(event);
    }
    ran += usize::from(cluster.oracle.highest_epoch() > 0);
    later += usize::from(cluster.oracle.highest_epoch() > 2);
    conflicts += usize::from(cluster.oracle.held() > 0);
  }
  println!(
    "of 200: {ran} ran a key, {later} under a third or later roster, {conflicts} denied one"
  );
  assert!(ran >= 150 && later >= 50 && conflicts >= 100);
}
