use {
  super::Fault,
  cactusyoke_decisions::keys::{
    AnswerLimits, Answers, ChangeStep, Process, Roster, RosterChange, Run, RunId, RunState, Witness,
  },
  cactusyoke_model::{IdempotencyKey, Incarnation, NodeId},
  std::{
    collections::BTreeMap,
    time::{Duration, Instant},
  },
};

pub const FINGERPRINT: u64 = 1;

/// One process.
#[derive(Debug)]
pub struct Node {
  pub member: Process,
  pub witness: Witness,
  /// Roster that its runs use; its witness may have adopted an older one.
  pub view: Roster,
  /// Runs by number, with the time of their start.
  pub runs: BTreeMap<u64, (Run, Instant)>,
  /// Runs that called the upstream and have not ended.
  pub running: Vec<(IdempotencyKey, RunId)>,
  pub answers: Answers<u64>,
  pub change: Option<(RosterChange, ChangeStep)>,
  /// Number of its last run.
  pub last_number: u64,
}

impl Node {
  pub fn new(index: usize, incarnation: u64, fault: Option<Fault>) -> Self {
    let member = Process {
      node: NodeId(([127, 0, 0, 1], 7000 + index as u16).into()),
      incarnation: Incarnation(incarnation),
    };
    let mut witness = Witness::new(member, 1000);
    // Pages of one key: a few keys make several pages, which may be repeated or reordered.
    witness.set_page_size(1);
    if fault == Some(Fault::EarlyEviction) {
      witness.set_memory(Duration::from_mins(1));
    }
    Self {
      member,
      witness,
      view: Roster::first(vec![member]).expect("a valid roster"),
      runs: BTreeMap::new(),
      running: Vec::new(),
      answers: Answers::new(member, AnswerLimits::default()),
      change: None,
      last_number: 0,
    }
  }

  /// Number of the oldest run that waits for votes.
  pub fn claiming(&self) -> Option<u64> {
    self
      .runs
      .iter()
      .find(|(_, (run, _))| run.state() == RunState::Claiming)
      .map(|(number, _)| *number)
  }
}
