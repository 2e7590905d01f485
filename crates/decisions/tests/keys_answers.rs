//! Answers that a node keeps for callers that send a key again.

use {
  cactusyoke_decisions::keys::{AnswerLimits, Answers, Lookup, Process, RunId},
  cactusyoke_model::{ByteSize, IdempotencyKey, Incarnation, NodeId, NotRunReason, UnknownReason},
  std::time::{Duration, Instant},
};

const FINGERPRINT: u64 = 7;

fn key(index: usize) -> IdempotencyKey {
  format!("order-{index}").parse().expect("a valid key")
}

fn run(number: u64) -> RunId {
  RunId {
    process: Process {
      node: NodeId(([127, 0, 0, 1], 7000).into()),
      incarnation: Incarnation(1),
    },
    number,
  }
}

fn answers() -> Answers<&'static str> {
  let limits = AnswerLimits {
    total: ByteSize(100),
    single: ByteSize(60),
    keys: 3,
    ..AnswerLimits::default()
  };
  Answers::new(run(0).process, limits)
}

/// Guards against a retry that runs again or gets another answer than the first request.
#[test]
fn later_senders_get_the_first_answer() {
  let now = Instant::now();
  let mut answers = answers();
  assert_eq!(answers.lookup(&key(0), FINGERPRINT, 1, now), Lookup::Absent);
  assert_eq!(answers.start(&key(0), FINGERPRINT, run(1), now), Ok(()));
  assert_eq!(answers.lookup(&key(0), FINGERPRINT, 1, now), Lookup::Wait);
  assert_eq!(
    answers.lookup_run(&key(0), FINGERPRINT, run(1), 2, now),
    Lookup::Wait
  );
  assert_eq!(
    answers.lookup_run(&key(0), FINGERPRINT, run(1), 3, now),
    Lookup::Wait
  );
  answers.remove_waiter(&key(0), 3);
  let waiters = answers.finish(&key(0), run(1), "placed", ByteSize(10), now);
  assert_eq!(waiters, [1, 2]);
  assert_eq!(
    answers.lookup(&key(0), FINGERPRINT, 4, now),
    Lookup::Done("placed")
  );
  let again = answers.start(&key(0), FINGERPRINT, run(2), now);
  assert_eq!(again, Err(NotRunReason::Withdrawn));
}

/// Guards against the answer of one request going to another that reuses its key.
#[test]
fn other_request_with_the_key_is_refused() {
  let now = Instant::now();
  let mut answers = answers();
  let refused = Lookup::Refused(NotRunReason::KeyMismatch);
  assert_eq!(answers.start(&key(0), FINGERPRINT, run(1), now), Ok(()));
  assert_eq!(answers.lookup(&key(0), 8, 1, now), refused);
  answers.finish(&key(0), run(1), "placed", ByteSize(10), now);
  assert_eq!(answers.lookup_run(&key(0), 8, run(1), 1, now), refused);
}

/// Guards against an answer that is kept for ever, and a forgotten run that is reported as not run.
#[test]
fn run_is_forgotten_with_its_answer() {
  let start = Instant::now();
  let mut answers = answers();
  assert_eq!(answers.start(&key(0), FINGERPRINT, run(1), start), Ok(()));
  answers.finish(&key(0), run(1), "placed", ByteSize(10), start);
  let last = start + Duration::from_secs(599);
  assert_eq!(
    answers.lookup(&key(0), FINGERPRINT, 1, last),
    Lookup::Done("placed")
  );
  let later = start + Duration::from_mins(10);
  let expired = Lookup::Unknown(UnknownReason::AnswerExpired);
  assert_eq!(
    answers.lookup_run(&key(0), FINGERPRINT, run(1), 1, later),
    expired
  );
  assert_eq!(answers.bytes(), ByteSize(0));
  assert!(answers.is_empty());
}

/// Guards against answers beyond the size limits, and against losing the newest one.
#[test]
fn oldest_answer_makes_room() {
  let now = Instant::now();
  let mut answers = answers();
  for index in 0..3_u64 {
    let key = key(index as usize);
    assert_eq!(answers.start(&key, FINGERPRINT, run(index), now), Ok(()));
    let size = ByteSize(if index == 2 { 61 } else { 60 });
    answers.finish(&key, run(index), "placed", size, now);
  }
  let expired = Lookup::Unknown(UnknownReason::AnswerExpired);
  assert_eq!(answers.lookup(&key(0), FINGERPRINT, 1, now), expired);
  assert_eq!(
    answers.lookup(&key(1), FINGERPRINT, 1, now),
    Lookup::Done("placed")
  );
  assert_eq!(answers.lookup(&key(2), FINGERPRINT, 1, now), expired);
  assert_eq!(answers.bytes(), ByteSize(60));
  for index in 3..6 {
    assert_eq!(
      answers.start(&key(index), FINGERPRINT, run(index as u64), now),
      Ok(())
    );
  }
  assert_eq!(
    answers.lookup_run(&key(1), FINGERPRINT, run(1), 1, now),
    expired
  );
  assert_eq!(answers.bytes(), ByteSize(0));
  let full = answers.start(&key(6), FINGERPRINT, run(6), now);
  assert_eq!(full, Err(NotRunReason::Limit));
  assert_eq!(answers.len(), 3);
}

/// Guards against a run that may have called the upstream and is reported as not run.
#[test]
fn only_a_withdrawn_run_is_reported_as_not_run() {
  let now = Instant::now();
  let mut answers = answers();
  let expired = Lookup::Unknown(UnknownReason::AnswerExpired);
  let mut earlier = run(1);
  earlier.process.incarnation = Incarnation(0);
  let first = Lookup::Unknown(UnknownReason::FirstRun);
  assert_eq!(
    answers.lookup_run(&key(0), FINGERPRINT, earlier, 1, now),
    first
  );
  assert_eq!(
    answers.lookup_run(&key(0), FINGERPRINT, run(1), 1, now),
    expired
  );
  assert_eq!(answers.start(&key(0), FINGERPRINT, run(2), now), Ok(()));
  assert_eq!(
    answers.lookup_run(&key(0), FINGERPRINT, run(1), 1, now),
    expired
  );
  answers.withdraw(&key(0), run(2), now);
  assert_eq!(
    answers.lookup_run(&key(0), FINGERPRINT, run(2), 1, now),
    Lookup::NotRun(run(2))
  );
  assert_eq!(answers.start(&key(0), 8, run(3), now), Ok(()));
  assert_eq!(
    answers.lookup_run(&key(0), FINGERPRINT, run(2), 1, now),
    Lookup::NotRun(run(2))
  );
  answers.finish_unknown(&key(0), run(3), UnknownReason::Connection, now);
  answers.withdraw(&key(0), run(3), now);
  let lost = Lookup::Unknown(UnknownReason::Connection);
  assert_eq!(answers.lookup(&key(0), 8, 1, now), lost);
}

/// Guards against memory that grows with each attempt at a key that cannot run.
#[test]
fn withdrawn_runs_of_a_key_are_bounded() {
  let now = Instant::now();
  let mut answers = answers();
  for number in 0..100 {
    assert_eq!(
      answers.start(&key(0), FINGERPRINT, run(number), now),
      Ok(())
    );
    answers.withdraw(&key(0), run(number), now);
  }
  assert_eq!(
    answers.lookup_run(&key(0), FINGERPRINT, run(99), 1, now),
    Lookup::NotRun(run(99))
  );
  let expired = Lookup::Unknown(UnknownReason::AnswerExpired);
  assert_eq!(
    answers.lookup_run(&key(0), FINGERPRINT, run(0), 1, now),
    expired
  );
}
