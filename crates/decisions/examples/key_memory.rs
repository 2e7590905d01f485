//! Measures the resident memory of remembered keys: `key_memory [KEYS]`.

use {
  cactusyoke_decisions::keys::{
    AnswerLimits, Answers, Operation, Process, Roster, RunId, Witness, WitnessReply, WitnessRequest,
  },
  cactusyoke_model::{IdempotencyKey, Incarnation, NodeId, UnknownReason},
  std::{fs, time::Instant},
};

/// Nodes whose runs are remembered: those of a data centre at full scale.
const NODES: u64 = 1200;

/// Length of a key, bytes: that of a UUID.
const KEY_LENGTH: usize = 36;

fn main() {
  let keys = std::env::args()
    .nth(1)
    .and_then(|keys| keys.parse::<u64>().ok())
    .unwrap_or(200_000);
  witness(keys);
  answers(keys);
}

fn witness(keys: u64) {
  let now = Instant::now();
  let before = resident();
  let mut witness = Witness::new(member(0), keys as usize);
  let roster = Roster::first(vec![member(0)]).expect("a roster of one is valid");
  witness.adopt(roster.clone(), now);
  let started = Instant::now();
  for index in 0..keys {
    let run = run(index);
    let request = WitnessRequest::Key {
      epoch: 1,
      key: key(index),
      run,
      operation: Operation::Claim { released: None },
    };
    let reply = witness.handle(run.process.node, request, now);
    assert!(
      matches!(reply, WitnessReply::Key { .. }),
      "a claim gets a vote"
    );
  }
  let elapsed = started.elapsed();
  println!(
    "witness ns_per_claim={}",
    elapsed.as_nanos() / u128::from(keys)
  );
  report("witness", keys, before);
  handover(&mut witness, &roster, now);
  assert_eq!(witness.len() as u64, keys);
}

/// Shows the size and time of a first page for the only member of the next roster.
fn handover(witness: &mut Witness, roster: &Roster, now: Instant) {
  let next = roster
    .next(vec![member(1)])
    .expect("a roster of one is valid");
  let mut new = Witness::new(member(1), 1);
  let (_, request) = new
    .adopt(next, now)
    .pop()
    .expect("a request for a handover");
  let started = Instant::now();
  let WitnessReply::Handover(page) = witness.handle(member(1).node, request, now) else {
    panic!("a handover gets a page");
  };
  let elapsed = started.elapsed();
  let bytes = postcard::to_allocvec(&page)
    .expect("a page can be encoded")
    .len();
  let grants = page.grants.len();
  println!(
    "handover page_grants={grants} page_bytes={bytes} us={}",
    elapsed.as_micros()
  );
}

fn answers(keys: u64) {
  let now = Instant::now();
  let before = resident();
  let mut answers = Answers::<()>::new(
    member(0),
    AnswerLimits {
      keys: keys as usize,
      ..AnswerLimits::default()
    },
  );
  for index in 0..keys {
    let (key, run) = (key(index), run(index));
    let started = answers.start(&key, index, run, now);
    assert_eq!(started, Ok(()), "the bound is not reached");
    answers.finish_unknown(&key, run, UnknownReason::AnswerExpired, now);
  }
  report("answers", keys, before);
  assert_eq!(answers.len() as u64, keys);
}

fn report(name: &str, keys: u64, before: u64) {
  let used = resident().saturating_sub(before);
  println!(
    "{name} keys={keys} resident={used} bytes_per_key={}",
    used / keys
  );
}

/// Resident memory of this process, bytes.
fn resident() -> u64 {
  let status = fs::read_to_string("/proc/self/status").expect("Linux shows the process status");
  let line = status
    .lines()
    .find_map(|line| line.strip_prefix("VmRSS:"))
    .expect("the status has the resident memory");
  let kilobytes = line.trim().trim_end_matches(" kB").parse::<u64>();
  kilobytes.expect("the resident memory is a number of kB") * 1024
}

fn member(index: u64) -> Process {
  Process {
    node: NodeId(([10, 0, (index / 250) as u8, (index % 250) as u8], 7000).into()),
    incarnation: Incarnation(1_790_000_000_000),
  }
}

fn run(index: u64) -> RunId {
  RunId {
    process: member(index % NODES),
    number: index,
  }
}

fn key(index: u64) -> IdempotencyKey {
  format!("{index:0KEY_LENGTH$}")
    .parse()
    .expect("digits make a valid key")
}
