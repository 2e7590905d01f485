//! Quarantine of requests that crash upstreams.

use {
  cactusyoke_decisions::load::{Fingerprint, Quarantine},
  std::time::{Duration, Instant},
};

fn poison() -> Fingerprint {
  Fingerprint::head("POST", "/photos").with_body(b"poison")
}

/// Guards against different requests with the same fingerprint.
#[test]
fn fingerprint_covers_method_path_and_body() {
  let head = Fingerprint::head("POST", "/photos");
  let others = [
    poison(),
    Fingerprint::head("PUT", "/photos"),
    Fingerprint::head("POST", "/photo"),
    head.with_body(b"poisoN"),
    head,
  ];
  for (index, one) in others.iter().enumerate() {
    assert!(!others[..index].contains(one));
  }
  assert_eq!(poison().with_body(b""), head);
}

/// Guards against a quarantine after a single crash, none after two, and one that never ends.
#[test]
fn second_crash_blocks_for_a_time() {
  let now = Instant::now();
  let mut quarantine = Quarantine::new();
  assert_eq!(quarantine.record_crash(poison(), now), None);
  assert!(!quarantine.is_quarantined(poison(), now));
  assert!(quarantine.contains_head(Fingerprint::head("POST", "/photos")));
  let later = now + Duration::from_secs(1);
  let notice = quarantine
    .record_crash(poison(), later)
    .expect("a quarantine");
  assert!(quarantine.is_quarantined(poison(), later));
  assert_eq!(quarantine.list(later), [notice]);
  assert!(!quarantine.is_quarantined(poison(), later + notice.remaining));
  assert!(!quarantine.contains_head(poison()));
}

/// Guards against a quarantine of frequent requests that happened to be in flight during two
/// crashes, far apart or with a complete response between them.
#[test]
fn suspicion_ends_with_time_or_a_response() {
  let now = Instant::now();
  let mut quarantine = Quarantine::new();
  assert_eq!(quarantine.record_crash(poison(), now), None);
  let much_later = now + Duration::from_mins(6);
  assert_eq!(quarantine.record_crash(poison(), much_later), None);
  quarantine.clear_suspicion(poison());
  assert_eq!(quarantine.record_crash(poison(), much_later), None);
}

/// Guards against a notice that another node does not adopt, and an adopted quarantine that cannot
/// be released.
#[test]
fn notices_are_adopted_and_released() {
  let now = Instant::now();
  let (mut one, mut two) = (Quarantine::new(), Quarantine::new());
  one.record_crash(poison(), now);
  let notice = one.record_crash(poison(), now).expect("a quarantine");
  two.adopt(notice, now);
  assert!(two.is_quarantined(poison(), now));
  assert!(two.release(poison()));
  assert!(!two.is_quarantined(poison(), now));
  assert!(!two.release(poison()));
}

/// Guards against memory that grows with each crash, and against suspects that displace quarantined
/// entries.
#[test]
fn entries_are_bounded() {
  let now = Instant::now();
  let mut quarantine = Quarantine::new();
  quarantine.record_crash(poison(), now);
  quarantine.record_crash(poison(), now);
  for index in 0..5000_u32 {
    let other = poison().with_body(&index.to_le_bytes());
    quarantine.record_crash(other, now);
  }
  assert!(quarantine.is_quarantined(poison(), now));
  for index in 0..5000_u32 {
    let other = poison().with_body(&index.to_be_bytes());
    quarantine.record_crash(other, now);
    quarantine.record_crash(other, now);
  }
  assert_eq!(quarantine.list(now).len(), 1024);
}
