//! Admission levels kept by a sender.

use {
  cactusyoke_decisions::load::Levels,
  cactusyoke_model::{Level, Priority, RouteName},
  std::time::{Duration, Instant},
};

fn ms(millis: u64) -> Duration {
  Duration::from_millis(millis)
}

fn route(name: &str) -> RouteName {
  name.parse().expect("a valid name")
}

/// Guards against a sender that keeps shedding when no more reports arrive.
#[test]
fn level_decays_to_all_within_a_second() {
  let now = Instant::now();
  let (mut levels, map) = (Levels::new(now), route("map"));
  levels.observe(&map, Level(0x0180), Duration::ZERO, now);
  assert_eq!(levels.level(&map, now + ms(400)), Level(0x0180));
  let raised = levels.level(&map, now + ms(750));
  assert!(raised > Level(0x0180) && raised < Level::ALL, "{raised}");
  assert_eq!(levels.level(&map, now + ms(1000)), Level::ALL);
  assert_eq!(levels.level(&route("pledges"), now), Level::ALL);
}

/// Guards against a lightly loaded instance that hides an overloaded one, and against a strict
/// report that never expires.
#[test]
fn strictest_recent_report_counts() {
  let now = Instant::now();
  let (mut levels, map) = (Levels::new(now), route("map"));
  levels.observe(&map, Level(0x0180), Duration::ZERO, now);
  levels.observe(&map, Level::ALL, Duration::ZERO, now + ms(10));
  assert_eq!(levels.level(&map, now + ms(10)), Level(0x0180));
  for step in 1..=11 {
    levels.observe(&map, Level::ALL, Duration::ZERO, now + ms(step * 10));
  }
  assert_eq!(levels.level(&map, now + ms(110)), Level::ALL);
}

/// Guards against applying an outdated report.
#[test]
fn report_older_than_a_second_is_ignored() {
  let now = Instant::now() + ms(5000);
  let (mut levels, map) = (Levels::new(now), route("map"));
  levels.observe(&map, Level(1), ms(1000), now);
  assert_eq!(levels.level(&map, now), Level::ALL);
  levels.observe(&map, Level(1), ms(900), now);
  assert_eq!(levels.level(&map, now + ms(100)), Level::ALL);
}

/// Guards against a sender that sheds everything and therefore never receives a new level, and
/// against probes that add load while reports arrive.
#[test]
fn probes_pass_only_in_silence() {
  let now = Instant::now();
  let (mut levels, map) = (Levels::new(now), route("map"));
  let mut passed = 0;
  for step in 0..100 {
    levels.observe(&map, Level::NONE, Duration::ZERO, now + ms(step * 10));
    passed += u32::from(levels.admits(&map, Priority(0x1fff), now + ms(step * 10)));
  }
  assert_eq!(passed, 0);
  let last = now + ms(990);
  for step in 0..500 {
    passed += u32::from(levels.admits(&map, Priority(0x1fff), last + ms(step)));
  }
  assert_eq!(passed, 1);
}
