//! Each rule of the protocol is needed: with one of them broken, the oracle finds a second run.

mod keys_cluster;

use {
  keys_cluster::{Cluster, Event, Fault, Machine, NODES},
  proptest::{
    strategy::{Strategy, ValueTree},
    test_runner::{Config, RngSeed, TestRunner},
  },
  proptest_state_machine::ReferenceStateMachine,
};

/// Guards against an oracle or random histories that are too weak to find a broken rule.
#[yare::parameterized(
  single_handover = { Fault::SingleHandover, 150 },
  grant_after_handover = { Fault::GrantAfterHandover, 150 },
  reused_incarnation = { Fault::ReusedIncarnation, 60 },
  no_max_claim_time = { Fault::NoMaxClaimTime, 150 },
  early_eviction = { Fault::EarlyEviction, 150 },
  mixed_epochs = { Fault::MixedEpochs, 60 },
  first_handover_wins = { Fault::FirstHandoverWins, 150 },
  false_coverage = { Fault::FalseCoverage, 150 },
)]
fn broken_rule_is_found(fault: Fault, length: usize) {
  let mut runner = TestRunner::new(Config {
    rng_seed: RngSeed::Fixed(0x6b65_7973),
    ..Config::default()
  });
  let histories = Machine::sequential_strategy(length..=length);
  for case in 1..=5_000 {
    let tree = histories.new_tree(&mut runner).expect("a history");
    let (members, events, _) = tree.current();
    let mut cluster = Cluster::new(NODES, members.0, Some(fault));
    for event in &events {
      cluster.apply(event);
    }
    cluster.deliver_all();
    if let Some(violation) = cluster.oracle.violation() {
      println!("{fault:?} found by history {case}: {violation}");
      return;
    }
  }
  panic!("{fault:?} was not found");
}

/// A claim to one witness is delayed until a new roster with that witness is in force.
fn late_claim_under_new_roster(fault: Option<Fault>) -> Cluster {
  let mut cluster = Cluster::new(NODES, 3, fault);
  cluster.apply(&Event::Start { node: 5, key: 0 });
  cluster.hold(5, 1);
  let late = cluster.hold(5, 2);
  cluster.deliver_all();
  cluster.reconfigure(1, &[2, 3, 4]);
  cluster.lose_all(0);
  cluster.deliver_all();
  cluster.apply(&Event::Start { node: 3, key: 0 });
  cluster.hold(3, 2);
  cluster.deliver_all();
  cluster.release(late);
  cluster.deliver_all();
  cluster
}

/// One run is granted by one old witness, another runs with the grants of the other two. Both are
/// handed over, and then the first is withdrawn.
fn conflicting_handovers(fault: Option<Fault>) -> Cluster {
  let mut cluster = Cluster::new(NODES, 3, fault);
  cluster.apply(&Event::Start { node: 5, key: 0 });
  cluster.hold(5, 1);
  cluster.hold(5, 2);
  cluster.apply(&Event::Start { node: 4, key: 0 });
  cluster.deliver_all();
  cluster.reconfigure(0, &[3, 4, 5]);
  cluster.lose_all(2);
  cluster.deliver_to(0);
  cluster.deliver_all();
  cluster.apply(&Event::Timeout(5));
  cluster.apply(&Event::Start { node: 3, key: 0 });
  cluster.deliver_all();
  cluster
}

/// Two changes while two members of the first roster are unreachable and go on granting.
fn changes_past_a_partition(fault: Option<Fault>) -> Cluster {
  let mut cluster = Cluster::new(NODES, 3, fault);
  cluster.reconfigure(2, &[2, 3, 4]);
  cluster.lose_all(0);
  cluster.lose_all(1);
  cluster.deliver_all();
  cluster.reconfigure(2, &[3, 4, 5]);
  cluster.lose_all(0);
  cluster.lose_all(1);
  cluster.deliver_all();
  cluster.apply(&Event::Advance(25 * 3600));
  cluster.apply(&Event::Start { node: 3, key: 0 });
  cluster.deliver_all();
  cluster.apply(&Event::Start { node: 0, key: 0 });
  cluster.hold(0, 2);
  cluster.deliver_all();
  cluster
}

/// Of the witnesses that granted a run, one restarts and the other is unreachable. The third, which
/// has no grant of it, hands over to the next roster, and that to another one.
fn handover_without_history(fault: Option<Fault>) -> Cluster {
  let mut cluster = Cluster::new(NODES, 3, fault);
  cluster.apply(&Event::Start { node: 5, key: 0 });
  cluster.hold(5, 2);
  cluster.deliver_all();
  cluster.apply(&Event::Restart(0));
  cluster.reconfigure(2, &[2, 3, 4]);
  cluster.lose_all(1);
  cluster.deliver_all();
  cluster.reconfigure(2, &[3, 4, 5]);
  cluster.deliver_all();
  cluster.apply(&Event::Start { node: 3, key: 0 });
  cluster.deliver_all();
  cluster
}

/// Guards against a second run in histories that are rare among the random ones, and shows that the
/// rule alone prevents it.
#[yare::parameterized(
  mixed_epochs = { Fault::MixedEpochs, late_claim_under_new_roster },
  first_handover_wins = { Fault::FirstHandoverWins, conflicting_handovers },
  false_coverage = { Fault::FalseCoverage, handover_without_history },
  early_change = { Fault::EarlyChange, changes_past_a_partition },
)]
fn rule_prevents_second_run(fault: Fault, history: fn(Option<Fault>) -> Cluster) {
  let correct = history(None);
  assert_eq!(correct.oracle.violation(), None);
  assert_eq!(correct.oracle.runs(&Cluster::key(0)), 1);
  let broken = history(Some(fault));
  let violation = broken.oracle.violation().expect("a second run");
  println!("{fault:?}: {violation}");
}

/// A run is withdrawn while its claims are delayed, and its node restarts before they arrive.
fn claims_after_their_withdrawal(fault: Option<Fault>) -> usize {
  let mut cluster = Cluster::new(NODES, 3, fault);
  cluster.apply(&Event::Start { node: 5, key: 0 });
  let late = [0, 1, 2].map(|witness| cluster.hold(5, witness)).concat();
  cluster.apply(&Event::Timeout(5));
  cluster.deliver_all();
  cluster.apply(&Event::Restart(5));
  cluster.release(late);
  cluster.deliver_all();
  cluster.apply(&Event::Start { node: 4, key: 0 });
  cluster.deliver_all();
  cluster.oracle.runs(&Cluster::key(0))
}

/// Guards against a key that is refused for the key memory because of a run that never happened.
#[test]
fn remembered_withdrawal_keeps_the_key_free() {
  assert_eq!(claims_after_their_withdrawal(None), 1);
  assert_eq!(
    claims_after_their_withdrawal(Some(Fault::ForgottenWithdrawal)),
    0
  );
}
