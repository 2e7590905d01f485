//! Random histories of a group against the oracle.

mod keys_cluster;

use {
  keys_cluster::Machine,
  proptest::test_runner::{Config, RngSeed},
  proptest_state_machine::prop_state_machine,
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
