//! Changes of the roster by compare-and-swap, and their order.

mod keys_cluster;

use {
  cactusyoke_decisions::keys::{
    ChangeError, ChangeStep, Process, Roster, RosterChange, StoreReply, Witness,
  },
  cactusyoke_model::{Incarnation, NodeId},
  keys_cluster::{Cluster, Event, NODES},
  std::time::Instant,
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

/// Guards against a second run when members that missed a roster count as knowing its grants.
#[test]
fn member_that_missed_a_roster_does_not_know_its_grants() {
  let mut cluster = Cluster::new(NODES, 5, None);
  let first = (0..5).map(|node| cluster.member(node)).collect::<Vec<_>>();
  let roster = Roster::first(first).expect("a valid roster");
  let key = (0..1000).find(|key| {
    let witnesses = roster.witnesses(&Cluster::key(*key));
    (0..3).all(|node| witnesses.contains(&cluster.member(node)))
  });
  let key = key.expect("a key of the first three");
  cluster.apply(&Event::Start { node: 5, key });
  cluster.deliver_all();
  for mask in [0b01_1001, 0b11_1000] {
    cluster.apply(&Event::ProposeChange { node: 0, mask });
    cluster.apply(&Event::StepChange {
      node: 0,
      outcome: 0,
    });
    cluster.deliver_all();
  }
  cluster.apply(&Event::Pause(0));
  for node in 3..6 {
    cluster.apply(&Event::AdoptStored(node));
  }
  cluster.deliver_all();
  cluster.apply(&Event::RefreshView(1));
  cluster.apply(&Event::Start { node: 1, key });
  cluster.deliver_all();
  assert_eq!(cluster.oracle.violation(), None);
  assert_eq!(cluster.oracle.runs(&Cluster::key(key)), 1);
}

/// Guards against successive restarts that lose grants, or that refuse keys for the key memory.
#[test]
fn restarts_in_turn_keep_keys_and_refuse_none() {
  let mut cluster = Cluster::new(NODES, 4, None);
  cluster.apply(&Event::Start { node: 5, key: 0 });
  cluster.deliver_all();
  for round in 1..=8 {
    let node = round % 4;
    cluster.apply(&Event::Restart(node));
    cluster.reconfigure((node + 1) % 4, &[0, 1, 2, 3]);
    cluster.deliver_all();
    assert!((0..4).all(|member| cluster.is_done(member)));
    cluster.apply(&Event::RefreshView(4));
    cluster.apply(&Event::Start {
      node: 4,
      key: round,
    });
    cluster.apply(&Event::Start { node: 4, key: 0 });
    cluster.deliver_all();
    assert_eq!(cluster.oracle.runs(&Cluster::key(round)), 1);
    assert_eq!(cluster.oracle.runs(&Cluster::key(0)), 1);
  }
}

fn propose(witness: &Witness) -> Result<(RosterChange, ChangeStep), ChangeError> {
  RosterChange::propose(witness, &members(1..4), members(2..5))
}

/// Guards against a second change before the first one has taken effect, and an error message that
/// does not say what to wait for.
#[test]
fn change_waits_for_the_one_before() {
  let now = Instant::now();
  let first = Roster::first(members(0..3)).expect("a valid roster");
  let second = first.next(members(1..4)).expect("a valid roster");
  let mut witness = Witness::new(member(3), 10);
  witness.adopt(second, now);
  let error = propose(&witness).expect_err("not in effect");
  assert_eq!(error, ChangeError::NotInEffect(2));
  assert_eq!(
    error.to_string(),
    "roster 2 is not in effect yet: wait until the members of the roster before have handed over"
  );
  witness.on_ended(member(0), now);
  propose(&witness).expect_err("two may still grant");
  witness.on_ended(member(1), now);
  propose(&witness).expect("one alone cannot grant");
  let error = RosterChange::propose(&witness, &members(1..2), members(2..5)).expect_err("not done");
  assert_eq!(
    error.to_string(),
    "2 members of roster 2 are still taking over: wait until all but one report that they are done \
     or are known to have ended"
  );
}

/// Guards against a change that is made twice or given up when the store's reply is lost, and
/// against adopting its roster after another one was stored instead.
#[test]
fn lost_reply_of_the_store_is_looked_up() {
  let first = Roster::first(members(0..3)).expect("a valid roster");
  let other = Roster::first(members(1..4)).expect("a valid roster");
  let later = other.next(members(0..3)).expect("a valid roster");
  let (change, step) = RosterChange::first(members(0..3)).expect("a change");
  let write = ChangeStep::Write {
    expected: 0,
    roster: first.clone(),
  };
  assert_eq!(step, write);
  assert_eq!(
    change.on_reply(StoreReply::Written),
    ChangeStep::Done(first.clone())
  );
  assert_eq!(change.on_reply(StoreReply::Lost), ChangeStep::Read);
  assert_eq!(change.on_reply(StoreReply::Read(None)), write);
  for reply in [StoreReply::Read, StoreReply::Conflict] {
    assert_eq!(
      change.on_reply(reply(Some(first.clone()))),
      ChangeStep::Done(first.clone())
    );
    for stored in [&other, &later] {
      let superseded = ChangeStep::Superseded(stored.clone());
      assert_eq!(change.on_reply(reply(Some(stored.clone()))), superseded);
    }
  }
}
