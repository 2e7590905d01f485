//! Decisions of the account, without a network.

use {
  cactusyoke_memory::{Candidate, MemoryAccount, MemoryBudget, MemoryKind, choose},
  cactusyoke_model::ByteSize,
  std::sync::{Arc, Mutex},
  yare::parameterized,
};

const BUDGET: MemoryBudget = MemoryBudget {
  close_above: 750,
  close_down_to: 625,
  refuse_above: 875,
  limit: 1000,
};

/// Account of [`BUDGET`] and the names of the holders that it closed.
struct Fixture {
  account: Arc<MemoryAccount>,
  closed: Arc<Mutex<Vec<&'static str>>>,
}

impl Fixture {
  fn new() -> Self {
    Self {
      account: Arc::new(MemoryAccount::new(Some(BUDGET), |_pressure, _held| {})),
      closed: Arc::default(),
    }
  }

  /// Holder of a peer that owes bytes.
  fn open(&self, name: &'static str) -> cactusyoke_memory::Holder {
    let closed = Arc::clone(&self.closed);
    let holder = self.account.open(move || closed.lock().unwrap().push(name));
    holder.set_owing(true);
    holder
  }

  fn closed(&self) -> Vec<&'static str> {
    self.closed.lock().unwrap().clone()
  }
}

// Guards against closing a client that sends while a stalled one keeps its memory.
#[test]
fn the_holder_without_progress_for_longest_is_closed_first() {
  let fixture = Fixture::new();
  let holders = ["a", "b", "c"].map(|name| fixture.open(name));
  for holder in &holders {
    assert!(holder.set(MemoryKind::Requests, 250));
  }
  assert_eq!(fixture.closed(), Vec::<&str>::new(), "at the threshold");
  holders[0].record_progress();
  assert!(holders[0].set(MemoryKind::Requests, 260));
  assert_eq!(fixture.closed(), ["b"]);
}

// Guards against a request that is closed while the process works on it.
#[test]
fn a_holder_that_does_not_wait_for_its_peer_is_not_closed() {
  let fixture = Fixture::new();
  let working = fixture.open("working");
  working.set_owing(false);
  let stalled = fixture.open("stalled");
  let unread = fixture.open("unread");
  unread.set_owing(false);
  unread.set_blocked(true);
  assert!(working.set(MemoryKind::Requests, 700));
  assert!(stalled.set(MemoryKind::Requests, 60));
  assert!(unread.set(MemoryKind::Answers, 60));
  assert_eq!(fixture.closed(), ["stalled", "unread"]);
}

// Guards against closing more and more holders before the first ones had time to end.
#[test]
fn holders_that_are_being_closed_count_as_given_back() {
  let fixture = Fixture::new();
  let first = fixture.open("first");
  let second = fixture.open("second");
  let third = fixture.open("third");
  assert!(first.set(MemoryKind::Requests, 400));
  assert!(second.set(MemoryKind::Requests, 300));
  assert!(third.set(MemoryKind::Requests, 100));
  assert_eq!(fixture.closed(), ["first"]);
  assert!(third.set(MemoryKind::Requests, 200));
  assert_eq!(fixture.closed(), ["first"]);
  drop(first);
  assert!(third.set(MemoryKind::Requests, 460));
  assert_eq!(fixture.closed(), ["first", "second"]);
}

// Guards against a process that takes requests with bodies until none is left for others.
#[test]
fn requests_with_bodies_are_refused_before_those_without() {
  let fixture = Fixture::new();
  let working = fixture.open("working");
  working.set_owing(false);
  assert!(working.set(MemoryKind::Requests, 870));
  assert!(!fixture.account.admits(10));
  assert!(fixture.account.admits(0));
  assert!(!working.set(MemoryKind::Requests, 1001));
  assert!(!fixture.account.admits(0));
  assert_eq!(fixture.account.usage().refused, 2);
}

// Guards against memory that stays counted after its holder is gone.
#[test]
fn everything_is_given_back() {
  let fixture = Fixture::new();
  let holder = fixture.open("holder");
  assert!(holder.set(MemoryKind::Connections, 10));
  assert!(holder.add(MemoryKind::Answers, 20));
  holder.subtract(MemoryKind::Answers, 50);
  assert_eq!(fixture.account.usage().bytes, [10, 0, 0, 0]);
  holder.close();
  drop(holder);
  assert_eq!(fixture.account.usage().bytes, [0; 4]);
  assert_eq!(fixture.closed(), ["holder"]);
  assert!(fixture.account.admits(875), "nothing counts as leaving");
}

// Guards against a native node that begins to refuse: without a budget there is no bound.
#[test]
fn without_a_budget_everything_is_taken() {
  let account = Arc::new(MemoryAccount::default());
  let holder = account.open(|| panic!("closed"));
  holder.set_owing(true);
  assert!(holder.set(MemoryKind::Requests, 1 << 40));
  assert!(account.admits(1 << 40));
}

// Guards against a budget that leaves nothing to the process itself, or that a request inside the
// limits of the pages could meet: it holds less than 1 MiB at a time.
#[parameterized(
  least = { 32 },
  small = { 160 },
  large = { 512 },
)]
fn a_budget_leaves_room_on_both_sides(mebibytes: u64) {
  let budget = MemoryBudget::of_process(ByteSize(mebibytes << 20));
  assert!(budget.limit as u64 <= (mebibytes << 20) / 2);
  assert!(budget.close_above > 4 << 20);
  assert!(budget.close_down_to < budget.close_above);
  assert!(budget.close_above < budget.refuse_above);
  assert!(budget.refuse_above < budget.limit);
}

// Guards against a choice that frees less than is needed while others could go.
#[parameterized(
  none = { 0, &[] },
  one = { 1, &[2] },
  exact = { 10, &[2] },
  two = { 11, &[2, 3] },
  all = { 1000, &[2, 3, 1] },
)]
fn as_many_as_needed_are_chosen(excess: usize, expected: &[u64]) {
  let candidate = |id, progress, bytes| Candidate {
    id,
    progress,
    bytes,
  };
  let candidates = vec![
    candidate(1, 9, 10),
    candidate(2, 4, 10),
    candidate(3, 7, 10),
  ];
  let chosen = choose(candidates, excess);
  let ids = chosen.iter().map(|candidate| candidate.id);
  assert_eq!(ids.collect::<Vec<_>>(), expected);
}
