//! Handovers of grants to the witnesses of a new roster.

use {
  cactusyoke_decisions::keys::{
    Coverage, HandoverPage, KEY_MEMORY, MAX_CLAIM_TIME, Operation, Process, Roster, RunId, Vote,
    Witness, WitnessReply, WitnessRequest,
  },
  cactusyoke_model::{IdempotencyKey, Incarnation, NodeId},
  std::time::{Duration, Instant},
};

fn member(index: u16) -> Process {
  Process {
    node: NodeId(
      (
        [0x2001, 0xdb8, 0xffff, 0xffff, 0xffff, 0xffff, 0xffff, index],
        65000,
      )
        .into(),
    ),
    incarnation: Incarnation(1_790_000_000_000),
  }
}

fn members(range: std::ops::Range<u16>) -> Vec<Process> {
  range.map(member).collect()
}

fn key(index: u64) -> IdempotencyKey {
  format!("order-{index}").parse().expect("a valid key")
}

fn claim(witness: &mut Witness, epoch: u64, index: u64, run: RunId, now: Instant) -> Vote {
  let request = WitnessRequest::Key {
    epoch,
    key: key(index),
    run,
    operation: Operation::Claim { released: None },
  };
  match witness.handle(run.process.node, request, now) {
    WitnessReply::Key { vote, .. } => vote,
    _ => panic!("a vote"),
  }
}

fn run(number: u64) -> RunId {
  RunId {
    process: member(99),
    number,
  }
}

fn page(
  witness: &mut Witness,
  from: Process,
  request: WitnessRequest,
  now: Instant,
) -> HandoverPage {
  match witness.handle(from.node, request, now) {
    WitnessReply::Handover(page) => page,
    _ => panic!("a page"),
  }
}

/// Completes a handover; returns the number of pages.
fn hand_over(old: &mut Witness, new: &mut Witness, request: WitnessRequest, now: Instant) -> usize {
  let mut next = Some((old.member(), request));
  let mut pages = 0;
  while let Some((_, request)) = next {
    let page = page(old, new.member(), request, now);
    next = new.on_page(&page, now);
    pages += 1;
  }
  pages
}

/// Guards against grants lost in a handover of several pages.
#[test]
fn handover_of_many_pages_is_complete() {
  let now = Instant::now();
  let first = Roster::first(members(0..1)).expect("a valid roster");
  let second = first.next(members(1..2)).expect("a valid roster");
  let mut old = Witness::new(member(0), 10_000);
  let mut new = Witness::new(member(1), 10_000);
  old.adopt(first, now);
  for index in 0..1000 {
    assert_eq!(claim(&mut old, 1, index, run(index), now), Vote::Granted);
  }
  let mut requests = new.adopt(second, now);
  let (_, request) = requests.pop().expect("a request");
  assert_eq!(claim(&mut new, 2, 1, run(5000), now), Vote::NotReady);
  assert_eq!(hand_over(&mut old, &mut new, request, now), 4);
  assert_eq!(new.len(), 1000);
  assert_eq!(
    claim(&mut old, 1, 2000, run(5001), now),
    Vote::WrongEpoch { epoch: 2 }
  );
  for index in 0..1000 {
    let denied = Vote::Denied { holder: run(index) };
    assert_eq!(claim(&mut new, 2, index, run(5000), now), denied);
  }
  assert_eq!(claim(&mut new, 2, 1000, run(5000), now), Vote::Granted);
}

/// Guards against a handover that counts as complete although one of its pages is missing.
#[test]
fn last_page_alone_is_not_a_handover() {
  let now = Instant::now();
  let first = Roster::first(members(0..1)).expect("a valid roster");
  let second = first.next(members(1..2)).expect("a valid roster");
  let mut old = Witness::new(member(0), 10_000);
  old.adopt(first, now);
  for index in 0..300 {
    assert_eq!(claim(&mut old, 1, index, run(index), now), Vote::Granted);
  }
  let mut other = Witness::new(member(1), 10_000);
  let (_, request) = other.adopt(second.clone(), now).pop().expect("a request");
  let page_one = page(&mut old, member(1), request, now);
  let (_, request) = other.on_page(&page_one, now).expect("a second request");
  let page_two = page(&mut old, member(1), request, now);
  let mut new = Witness::new(member(1), 10_000);
  new.adopt(second, now);
  assert_eq!(new.on_page(&page_two, now), None);
  assert_eq!(claim(&mut new, 2, 1000, run(5000), now), Vote::NotReady);
  new.on_page(&page_one, now);
  new.on_page(&page_two, now);
  assert_eq!(claim(&mut new, 2, 1000, run(5000), now), Vote::Granted);
}

/// Guards against keys that count as known although their grants are missing from the handover: a
/// witness that takes over grants during a pass may store them before the cursor.
#[test]
fn coverage_gained_during_a_pass_does_not_count() {
  let now = Instant::now();
  let first = Roster::first(members(0..1)).expect("a valid roster");
  let second = first.next(members(1..2)).expect("a valid roster");
  let third = second.next(members(2..3)).expect("a valid roster");
  let mut witnesses = [0, 1, 2].map(|index| Witness::new(member(index), 10_000));
  let [old, middle, new] = &mut witnesses;
  middle.set_page_size(100);
  old.adopt(first, now);
  for index in 0..600 {
    assert_eq!(claim(old, 1, index, run(index), now), Vote::Granted);
  }
  old.set_page_size(150);
  let (_, request) = middle.adopt(second, now).pop().expect("a request");
  let next = middle.on_page(&page(old, member(1), request, now), now);
  let (_, request) = new.adopt(third, now).pop().expect("a request");
  let half = new.on_page(&page(middle, member(2), request, now), now);
  hand_over(old, middle, next.expect("a second request").1, now);
  hand_over(middle, new, half.expect("a second request").1, now);
  let granted = |new: &mut Witness| {
    let votes = (0..600).map(|index| claim(new, 3, index, run(5000), now));
    votes.filter(|vote| *vote == Vote::Granted).count()
  };
  assert_eq!(granted(new), 0);
  let (_, request) = new
    .on_retry(now)
    .pop()
    .expect("a request for what is missing");
  hand_over(middle, new, request, now);
  assert_eq!(granted(new), 0);
  assert_eq!(claim(new, 3, 1000, run(5000), now), Vote::Granted);
}

/// Only member of a new roster, the page with the grant of key 0 that the only old member sends it,
/// and the time.
fn lone_handover() -> (Witness, HandoverPage, Instant) {
  let now = Instant::now();
  let first = Roster::first(members(0..1)).expect("a valid roster");
  let second = first.next(members(1..2)).expect("a valid roster");
  let mut old = Witness::new(member(0), 10);
  let mut new = Witness::new(member(1), 10);
  old.adopt(first, now);
  assert_eq!(claim(&mut old, 1, 0, run(0), now), Vote::Granted);
  let (_, request) = new.adopt(second, now).pop().expect("a request");
  (new, page(&mut old, member(1), request, now), now)
}

/// Guards against a grant that expires early because a second handover shows less time left.
#[test]
fn longest_time_of_a_grant_counts() {
  let (mut new, mut page, now) = lone_handover();
  new.on_page(&page, now);
  page.grants[0].remaining = Duration::from_secs(1);
  new.on_page(&page, now);
  let denied = Vote::Denied { holder: run(0) };
  assert_eq!(claim(&mut new, 2, 0, run(1), now + KEY_MEMORY), denied);
}

/// Guards against a handover that brings back the grant of a withdrawn run.
#[test]
fn withdrawn_run_is_not_taken_over() {
  let (mut new, page, now) = lone_handover();
  let withdrawal = WitnessRequest::Key {
    epoch: 1,
    key: key(0),
    run: run(0),
    operation: Operation::Withdraw,
  };
  new.handle(member(99).node, withdrawal, now);
  new.on_page(&page, now);
  assert_eq!(claim(&mut new, 2, 0, run(1), now), Vote::Granted);
}

/// Guards against a page of an earlier process that counts as proof that the member has ended.
#[test]
fn earlier_incarnation_does_not_prove_the_end_of_a_later_one() {
  let (mut new, mut page, now) = lone_handover();
  page.from.incarnation = Incarnation(1);
  new.on_page(&page, now);
  assert!(!new.takeover().expect("a takeover").old_stopped());
  page.from.incarnation = Incarnation(u64::MAX);
  new.on_page(&page, now);
  assert!(new.takeover().expect("a takeover").old_stopped());
}

/// Guards against keys that count as known although the old members did not know them.
#[test]
fn coverage_depends_on_what_the_old_members_knew() {
  let partial = Coverage {
    members: members(0..3),
    handed_over: vec![(members(0..1), Coverage::default())],
    remaining: Some(KEY_MEMORY),
  };
  let coverage = |nested: &Coverage| Coverage {
    handed_over: vec![(members(0..2), nested.clone())],
    ..partial.clone()
  };
  let hash = (&key(0)).into();
  assert!(!coverage(&partial).covers(hash, Duration::ZERO));
  assert!(coverage(&Coverage::default()).covers(hash, Duration::ZERO));
  assert!(coverage(&partial).covers(hash, KEY_MEMORY));
}

/// Guards against a page that a node's frames of 64 KiB cannot carry.
#[test]
fn page_fits_a_frame() {
  let now = Instant::now();
  let first = Roster::first(members(0..1)).expect("a valid roster");
  let mut old = Witness::new(member(0), 10_000);
  old.adopt(first.clone(), now);
  for index in 0..300 {
    assert_eq!(
      claim(&mut old, 1, index, run(u64::MAX - index), now),
      Vote::Granted
    );
  }
  let second = first.next(members(1..2)).expect("a valid roster");
  let mut requests = Witness::new(member(1), 10).adopt(second, now);
  let (_, request) = requests.pop().expect("a request");
  let mut page = page(&mut old, member(1), request, now);
  assert_eq!(page.grants.len(), 256);
  // Two holders for each key, and the largest coverage.
  page.grants = page
    .grants
    .iter()
    .flat_map(|grant| [*grant, *grant])
    .collect();
  page.coverage = Some(largest_coverage(0));
  let bytes = postcard::to_allocvec(&page).expect("a frame");
  assert!(bytes.len() <= 64 * 1024, "{} bytes", bytes.len());
  let decoded = postcard::from_bytes::<HandoverPage>(&bytes).expect("a page");
  assert_eq!(decoded, page);
}

/// Coverage of 48 nested values, the most that is sent.
fn largest_coverage(depth: u16) -> Coverage {
  let nested = |index: u16| match (depth, index) {
    (0, _) => largest_coverage(1),
    _ => Coverage {
      handed_over: Vec::new(),
      ..largest_coverage(2)
    },
  };
  let count = match depth {
    0 => 12,
    1 => 3,
    _ => 0,
  };
  Coverage {
    members: members(0..12),
    handed_over: (0..count)
      .map(|index| (vec![member(index)], nested(index)))
      .collect(),
    remaining: Some(KEY_MEMORY),
  }
}

/// Guards against a second run after the only witness has lost its grants by a restart.
#[test]
fn restarted_lone_witness_refuses_keys_for_the_longest_key_memory() {
  let now = Instant::now();
  let first = Roster::first(members(0..1)).expect("a valid roster");
  let restarted = Process {
    incarnation: Incarnation(member(0).incarnation.0 + 1),
    ..member(0)
  };
  let second = first.next(vec![restarted]).expect("a valid roster");
  let mut witness = Witness::new(restarted, 10);
  witness.adopt(second, now);
  witness.on_ended(member(0), now);
  witness.set_memory(2 * KEY_MEMORY);
  witness.set_memory(KEY_MEMORY);
  let over = now + 2 * KEY_MEMORY + MAX_CLAIM_TIME;
  let almost = now + 2 * KEY_MEMORY + MAX_CLAIM_TIME.saturating_sub(Duration::from_millis(1));
  assert_eq!(claim(&mut witness, 2, 0, run(1), almost), Vote::NotReady);
  assert_eq!(claim(&mut witness, 2, 0, run(1), over), Vote::Granted);
}
