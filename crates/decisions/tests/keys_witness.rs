//! Witnesses and rosters, message by message.

use {
  cactusyoke_decisions::keys::{
    KEY_MEMORY, MAX_CLAIM_TIME, Operation, Process, Roster, RosterError, Run, RunAction, RunId,
    Vote, Witness, WitnessReply, WitnessRequest,
  },
  cactusyoke_model::{IdempotencyKey, Incarnation, NodeId, NotRunReason},
  std::time::{Duration, Instant},
};

fn member(index: u16) -> Process {
  Process {
    node: NodeId(([127, 0, 0, 1], 7000 + index).into()),
    incarnation: Incarnation(1),
  }
}

fn members(count: u16) -> Vec<Process> {
  (0..count).map(member).collect()
}

fn roster(count: u16) -> Roster {
  Roster::first(members(count)).expect("a valid roster")
}

fn key(index: usize) -> IdempotencyKey {
  format!("order-{index}").parse().expect("a valid key")
}

fn run_id(index: u16, number: u64) -> RunId {
  RunId {
    process: member(index),
    number,
  }
}

fn request(epoch: u64, key: &IdempotencyKey, run: RunId, operation: Operation) -> WitnessRequest {
  WitnessRequest::Key {
    epoch,
    key: key.clone(),
    run,
    operation,
  }
}

fn vote(
  witness: &mut Witness,
  key: &IdempotencyKey,
  run: RunId,
  operation: Operation,
  at: Instant,
) -> Vote {
  match witness.handle(run.process.node, request(1, key, run, operation), at) {
    WitnessReply::Key { vote, .. } => vote,
    _ => panic!("a vote"),
  }
}

const CLAIM: Operation = Operation::Claim { released: None };

/// Only member of a roster, and so a witness of every key.
fn witness(limit: usize, now: Instant) -> Witness {
  let mut witness = Witness::new(member(0), limit);
  assert!(witness.adopt(roster(1), now).is_empty());
  witness
}

/// Guards against a key that stays blocked by a claim that arrives after its withdrawal.
#[test]
fn late_claim_after_withdrawal_does_not_hold_the_key() {
  let now = Instant::now();
  let mut witness = witness(10, now);
  let (first, second) = (run_id(1, 1), run_id(2, 1));
  assert_eq!(
    vote(&mut witness, &key(0), first, Operation::Withdraw, now),
    Vote::Withdrawn
  );
  assert_eq!(
    vote(&mut witness, &key(0), first, CLAIM, now),
    Vote::Withdrawn
  );
  assert_eq!(
    vote(&mut witness, &key(0), second, CLAIM, now),
    Vote::Granted
  );
}

/// Guards against denying a repeated claim of the holder, and against a second grant of the key
/// before its holder is released.
#[test]
fn repeated_claim_is_granted_again_and_another_denied() {
  let now = Instant::now();
  let mut witness = witness(10, now);
  let (first, second) = (run_id(1, 1), run_id(2, 1));
  for _ in 0..2 {
    assert_eq!(
      vote(&mut witness, &key(0), first, CLAIM, now),
      Vote::Granted
    );
  }
  let denied = Vote::Denied { holder: first };
  assert_eq!(vote(&mut witness, &key(0), second, CLAIM, now), denied);
  let claim = Operation::Claim {
    released: Some(first),
  };
  assert_eq!(
    vote(&mut witness, &key(0), second, claim, now),
    Vote::Granted
  );
}

/// Guards against evicting grants at the limit of keys, and against keys that never expire.
#[test]
fn new_keys_are_refused_at_the_limit_until_old_ones_expire() {
  let start = Instant::now();
  let mut witness = witness(2, start);
  let run = run_id(1, 1);
  assert_eq!(
    vote(&mut witness, &key(0), run, CLAIM, start),
    Vote::Granted
  );
  assert_eq!(
    vote(&mut witness, &key(1), run_id(1, 2), CLAIM, start),
    Vote::Granted
  );
  let almost = start + KEY_MEMORY + MAX_CLAIM_TIME;
  assert_eq!(
    vote(&mut witness, &key(2), run_id(1, 3), CLAIM, almost),
    Vote::Full
  );
  assert_eq!(
    vote(&mut witness, &key(0), run, CLAIM, almost),
    Vote::Granted
  );
  let over = almost + Duration::from_secs(2);
  assert_eq!(
    vote(&mut witness, &key(2), run_id(1, 3), CLAIM, over),
    Vote::Granted
  );
  assert_eq!(witness.len(), 1);
}

/// Guards against a shorter key memory that makes earlier grants expire early.
#[test]
fn shorter_memory_holds_for_later_grants_only() {
  let start = Instant::now();
  let mut witness = witness(10, start);
  assert_eq!(
    vote(&mut witness, &key(0), run_id(1, 1), CLAIM, start),
    Vote::Granted
  );
  witness.set_memory(Duration::from_mins(1));
  assert_eq!(
    vote(&mut witness, &key(1), run_id(1, 2), CLAIM, start),
    Vote::Granted
  );
  let later = start + Duration::from_mins(2);
  let denied = Vote::Denied {
    holder: run_id(1, 1),
  };
  assert_eq!(
    vote(&mut witness, &key(0), run_id(2, 1), CLAIM, later),
    denied
  );
  assert_eq!(
    vote(&mut witness, &key(1), run_id(2, 2), CLAIM, later),
    Vote::Granted
  );
}

/// Guards against grants by a node that is in no roster, or in one with another incarnation.
#[test]
fn witness_outside_the_roster_grants_nothing() {
  let now = Instant::now();
  let restarted = Process {
    incarnation: Incarnation(2),
    ..member(0)
  };
  let mut witness = Witness::new(restarted, 10);
  let run = run_id(1, 1);
  let wrong = |epoch| Vote::WrongEpoch { epoch };
  assert_eq!(vote(&mut witness, &key(0), run, CLAIM, now), wrong(0));
  witness.adopt(roster(3), now);
  assert_eq!(vote(&mut witness, &key(0), run, CLAIM, now), wrong(1));
}

/// Guards against grants by two members, where the loss of one would lose the majority.
#[test]
fn two_members_refuse_keys() {
  let now = Instant::now();
  let roster = roster(2);
  let (mut run, claims) = Run::start(run_id(0, 1), key(0), 1, &roster, now);
  assert_eq!(claims, []);
  assert_eq!(
    run.on_timeout(now),
    [RunAction::NotRun(NotRunReason::NoWitnesses)]
  );
  let mut witness = Witness::new(member(0), 10);
  witness.adopt(roster, now);
  assert_eq!(
    vote(&mut witness, &key(0), run_id(0, 1), CLAIM, now),
    Vote::NotReady
  );
}

/// Guards against a new member that changes the witnesses of more keys than its share.
#[test]
fn new_member_takes_over_its_share_of_keys() {
  let (old, new) = (roster(11), roster(12));
  let moved = (0..4000)
    .filter(|index| old.witnesses(&key(*index)) != new.witnesses(&key(*index)))
    .count();
  // A key has three witnesses among twelve members, so a quarter of the keys should move.
  assert!((800..1200).contains(&moved), "{moved} of 4000 keys moved");
}

/// Guards against invalid stored rosters, and error messages that do not say what to correct.
#[yare::parameterized(
  empty = { 1, 0, RosterError::Empty, "the roster has no members: name at least one" },
  many = { 1, 13, RosterError::TooMany(13), "the roster has 13 members: name at most 12" },
  late = { 2, 3, RosterError::Epoch(2),
    "the roster has epoch 2: start at 1 and name the members before from epoch 2 on" },
)]
fn bad_roster_is_refused(epoch: u64, count: u16, error: RosterError, message: &str) {
  let result = match epoch {
    1 => Roster::first(members(count)),
    _ => Roster::try_from((epoch, members(count), Vec::new())),
  };
  assert_eq!(result, Err(error));
  assert_eq!(error.to_string(), message);
}

/// Guards against a node with two votes.
#[test]
fn node_is_in_a_roster_once() {
  let twice = vec![member(1), member(1)];
  let error = Roster::first(twice).expect_err("a duplicate");
  assert_eq!(
    error.to_string(),
    "the roster names `127.0.0.1:7001` twice: name each node once"
  );
}
