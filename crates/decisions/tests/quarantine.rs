//! Quarantine of requests that crash upstreams.

use {
  cactusyoke_decisions::load::{
    CrashId, CrashLog, Fingerprint, Loss, Quarantine, QuarantineNotice,
  },
  std::time::{Duration, Instant},
};

fn poison() -> Fingerprint {
  Fingerprint::head("POST", "/photos").with_body(b"poison")
}

/// Records crashes, the last of which leads to a quarantine.
fn crash_until_quarantined(quarantine: &mut Quarantine, now: Instant) -> QuarantineNotice {
  assert_eq!(crash(quarantine, 1, now), None);
  assert_eq!(crash(quarantine, 2, now), None);
  crash(quarantine, 3, now).expect("a quarantine")
}

/// Records the crash with a number; the request ran alone if it had to.
fn crash(quarantine: &mut Quarantine, number: u64, now: Instant) -> Option<QuarantineNotice> {
  let alone = quarantine.needs_probation(poison(), now);
  quarantine.record_crash(poison(), CrashId(number), alone, now)
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

/// Guards against a quarantine after fewer than three crashes, none after them, and one that never
/// ends.
#[test]
fn third_crash_blocks_for_a_time() {
  let now = Instant::now();
  let mut quarantine = Quarantine::new();
  assert_eq!(crash(&mut quarantine, 1, now), None);
  assert!(!quarantine.needs_probation(poison(), now));
  assert_eq!(crash(&mut quarantine, 2, now), None);
  assert!(quarantine.needs_probation(poison(), now));
  assert!(!quarantine.is_quarantined(poison(), now));
  assert!(quarantine.contains_head(Fingerprint::head("POST", "/photos")));
  let later = now + Duration::from_secs(1);
  let notice = crash(&mut quarantine, 3, later).expect("a quarantine");
  assert!(quarantine.is_quarantined(poison(), later));
  assert_eq!(quarantine.list(later), [notice]);
  assert!(!quarantine.is_quarantined(poison(), later + notice.remaining));
  assert!(!quarantine.contains_head(poison()));
}

/// Guards against a quarantine of frequent requests that happened to be in flight during several
/// crashes, far apart or with a complete response between them.
#[test]
fn suspicion_ends_with_time_or_a_response() {
  let now = Instant::now();
  let mut quarantine = Quarantine::new();
  crash(&mut quarantine, 1, now);
  let much_later = now + Duration::from_mins(6);
  crash(&mut quarantine, 2, much_later);
  assert!(!quarantine.needs_probation(poison(), much_later));
  quarantine.clear_suspicion(poison());
  crash(&mut quarantine, 3, much_later);
  assert!(!quarantine.needs_probation(poison(), much_later));
}

/// Guards against a quarantine of requests that were merely in flight beside others during any number
/// of crashes, and against one crash that counts more than once.
#[test]
fn only_a_request_that_ran_alone_is_quarantined() {
  let now = Instant::now();
  let mut quarantine = Quarantine::new();
  quarantine.mark_suspect(poison(), CrashId(1), now);
  assert_eq!(
    quarantine.record_crash(poison(), CrashId(1), false, now),
    None
  );
  assert!(!quarantine.needs_probation(poison(), now));
  for number in 2..20 {
    let notice = quarantine.record_crash(poison(), CrashId(number), false, now);
    assert_eq!(notice, None);
  }
  assert!(quarantine.needs_probation(poison(), now));
}

/// Guards against a notice that another node does not adopt, an adopted quarantine that cannot be
/// released, and a released one that comes back with the notice of another node.
#[test]
fn notices_are_adopted_and_released() {
  let now = Instant::now();
  let (mut one, mut two) = (Quarantine::new(), Quarantine::new());
  let notice = crash_until_quarantined(&mut one, now);
  assert!(two.adopt(notice, now));
  assert!(!two.adopt(notice, now));
  assert!(two.is_quarantined(poison(), now));
  assert!(two.release(poison(), now));
  assert!(!two.is_quarantined(poison(), now));
  assert!(!two.release(poison(), now));
  assert!(!two.adopt(notice, now));
  assert!(!two.is_quarantined(poison(), now));
  crash_until_quarantined(&mut two, now);
  assert!(two.is_quarantined(poison(), now));
}

/// Guards against memory that grows with each crash, and against suspects that displace quarantined
/// entries.
#[test]
fn entries_are_bounded() {
  let now = Instant::now();
  let mut quarantine = Quarantine::new();
  crash_until_quarantined(&mut quarantine, now);
  for index in 0..5000_u32 {
    let other = poison().with_body(&index.to_le_bytes());
    quarantine.record_crash(other, CrashId(9), false, now);
  }
  assert!(quarantine.is_quarantined(poison(), now));
  for index in 0..5000_u32 {
    let other = poison().with_body(&index.to_be_bytes());
    for number in 1..=3 {
      quarantine.record_crash(other, CrashId(number), number == 3, now);
    }
  }
  assert_eq!(quarantine.list(now).len(), 1024);
}

fn loss(at: Instant) -> Loss {
  Loss {
    fingerprint: poison(),
    alone: false,
    at,
  }
}

/// Guards against a crash that counts for each of the connections that it closed, one after the
/// other.
#[test]
fn losses_until_the_next_accept_are_one_crash() {
  let now = Instant::now();
  let later = now + Duration::from_millis(60);
  let mut log = CrashLog::new();
  log.record(loss(now));
  let first = log.record_refusal(CrashId(1));
  assert_eq!(first.losses, [loss(now)]);
  log.record(loss(later));
  let second = log.record_refusal(CrashId(2));
  assert_eq!((second.id, second.losses), (CrashId(1), vec![loss(later)]));
  log.record_accept(later + Duration::from_secs(2));
  log.record(loss(later + Duration::from_secs(3)));
  assert_eq!(log.record_refusal(CrashId(3)).id, CrashId(3));
}

/// Guards against a crash that does not count because the upstream accepts connections again, or
/// accepted one just before.
#[test]
fn an_accepted_connection_does_not_explain_a_later_loss() {
  let now = Instant::now();
  let later = now + Duration::from_millis(50);
  let mut log = CrashLog::new();
  log.record(loss(now));
  log.record_accept(now + Duration::from_millis(1));
  assert!(!log.needs_check());
  log.record(loss(later));
  assert!(log.needs_check());
  assert_eq!(log.record_refusal(CrashId(1)).losses, [loss(later)]);
}

/// Guards against a crash that does not count because the upstream was back before it was checked, and
/// against one that counts for connections lost long before a restart.
#[test]
fn another_process_shows_that_the_one_before_crashed() {
  let now = Instant::now();
  let mut log = CrashLog::new();
  log.record(loss(now));
  log.record_accept(now + Duration::from_millis(1));
  let restarted = now + Duration::from_secs(3);
  let crash = log.record_restart(CrashId(1), restarted);
  assert_eq!(crash.expect("a crash").losses, [loss(now)]);
  assert_eq!(log.record_restart(CrashId(2), restarted), None);
  log.record(loss(now));
  log.record_accept(now + Duration::from_millis(1));
  let much_later = now + Duration::from_mins(1);
  assert_eq!(log.record_restart(CrashId(3), much_later), None);
}

/// Guards against suspicion of ordinary requests, which repeat, and against a process that is trusted
/// with what the one before it completed.
#[test]
fn a_request_that_the_process_completed_is_not_under_suspicion() {
  let now = Instant::now();
  let later = now + Duration::from_secs(1);
  let mut log = CrashLog::new();
  log.record_completion(poison());
  log.record(loss(now));
  assert_eq!(log.record_refusal(CrashId(1)).losses, []);
  assert_eq!(log.record_restart(CrashId(2), later), None);
  log.record(loss(later));
  assert_eq!(log.record_refusal(CrashId(3)).losses, [loss(later)]);
}
