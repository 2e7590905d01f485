use proptest::test_runner::{Config, RngSeed};

/// Settings of a property test with a fixed seed; `CACTUSYOKE_CASES` overrides the number of cases.
pub fn config(seed: u64, cases: u32) -> Config {
  let cases = std::env::var("CACTUSYOKE_CASES")
    .ok()
    .and_then(|text| text.parse().ok())
    .unwrap_or(cases);
  Config {
    cases,
    rng_seed: RngSeed::Fixed(seed),
    failure_persistence: None,
    ..Config::default()
  }
}
