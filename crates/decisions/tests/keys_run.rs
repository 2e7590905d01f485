//! Runs, vote by vote.

use {
  cactusyoke_decisions::keys::{
    Operation, Process, Roster, Run, RunAction, RunId, RunState, Vote, Witness, WitnessReply,
    WitnessRequest,
  },
  cactusyoke_model::{IdempotencyKey, Incarnation, NodeId, NotRunReason},
  std::time::Instant,
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

fn reply(from: Process, run: &Run, vote: Vote) -> WitnessReply {
  WitnessReply::Key {
    witness: from,
    epoch: run.epoch(),
    key: run.key().clone(),
    run: run.id(),
    vote,
  }
}

/// Guards against keys that need all three witnesses, so that the loss of one refuses them.
#[yare::parameterized(first = { 0 }, second = { 1 }, third = { 2 })]
fn one_lost_witness_refuses_nothing(lost: usize) {
  let now = Instant::now();
  let roster = roster(5);
  for index in 0..50 {
    let (mut run, claims) = Run::start(run_id(4, 1), key(index), 1, &roster, now);
    assert_eq!(claims.len(), 3);
    let mut actions = Vec::new();
    for (place, (to, claim)) in claims.into_iter().enumerate() {
      if place != lost {
        let mut witness = Witness::new(to, 10);
        witness.adopt(roster.clone(), now);
        let reply = witness.handle(member(4).node, claim, now);
        actions.extend(run.on_reply(to, &reply, now));
      }
    }
    assert_eq!(actions, [RunAction::Execute]);
  }
}

/// Guards against a refusal that does not say why, or that leaves grants behind.
#[yare::parameterized(
  silent = { &[], RunAction::NotRun(NotRunReason::NoWitnesses), false },
  one_grant = { &[Vote::Granted], RunAction::NotRun(NotRunReason::NoWitnesses), false },
  full = { &[Vote::Full, Vote::Full], RunAction::NotRun(NotRunReason::Limit), true },
  newer = { &[Vote::WrongEpoch { epoch: 3 }, Vote::Full], RunAction::WrongEpoch(3), false },
  older = { &[Vote::WrongEpoch { epoch: 0 }, Vote::NotReady],
    RunAction::NotRun(NotRunReason::NoWitnesses), false },
  held = { &[Vote::Granted, Vote::Denied { holder: run_id(2, 7) }],
    RunAction::Held(run_id(2, 7)), false },
)]
fn refused_run_withdraws_from_all(votes: &[Vote], refusal: RunAction, key_was_free: bool) {
  let now = Instant::now();
  let (mut run, claims) = Run::start(run_id(4, 1), key(0), 1, &roster(3), now);
  let mut actions = Vec::new();
  for ((witness, _), vote) in claims.iter().zip(votes) {
    actions.extend(run.on_reply(*witness, &reply(*witness, &run, *vote), now));
  }
  actions.extend(run.on_timeout(now));
  let sent = |(to, _): &(Process, WitnessRequest)| {
    RunAction::Send(*to, request(1, &key(0), run.id(), Operation::Withdraw))
  };
  let mut expected = claims.iter().map(sent).collect::<Vec<_>>();
  expected.push(refusal);
  assert_eq!(actions, expected);
  assert_eq!(run.state(), RunState::Withdrawn);
  assert_eq!(run.key_was_free(), key_was_free);
  let granted = reply(claims[0].0, &run, Vote::Granted);
  let late = run.on_reply(claims[0].0, &granted, now);
  assert_eq!(late, [expected.swap_remove(0)]);
}

/// Guards against counting votes that were cast for another run, under another roster, or by a
/// witness that has restarted since.
#[yare::parameterized(
  epoch = { 2, 1, 1 },
  run = { 1, 2, 1 },
  incarnation = { 1, 1, 2 },
)]
fn foreign_votes_are_not_counted(epoch: u64, number: u64, incarnation: u64) {
  let now = Instant::now();
  let (mut run, claims) = Run::start(run_id(4, 1), key(0), 1, &roster(3), now);
  for (witness, _) in claims {
    let vote = WitnessReply::Key {
      witness: Process {
        incarnation: Incarnation(incarnation),
        ..witness
      },
      epoch,
      key: key(0),
      run: run_id(4, number),
      vote: Vote::Granted,
    };
    assert_eq!(run.on_reply(witness, &vote, now), []);
  }
  assert_eq!(run.state(), RunState::Claiming);
}

/// Guards against a cancelled run that is still claiming, and one that is cancelled twice.
#[test]
fn cancelled_run_does_not_run() {
  let now = Instant::now();
  let (mut run, _) = Run::start(run_id(4, 1), key(0), 1, &roster(3), now);
  let actions = run.cancel();
  assert_eq!(
    actions.last(),
    Some(&RunAction::NotRun(NotRunReason::Cancelled))
  );
  assert_eq!(run.cancel(), []);
}
