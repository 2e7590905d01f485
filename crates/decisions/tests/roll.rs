//! Nodes as the platform's directory lists them.

use {
  cactusyoke_decisions::membership::{LifeState, Record, Roll, Status},
  cactusyoke_model::{Incarnation, NodeId},
  std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
  },
};

fn node(index: u16) -> NodeId {
  NodeId(SocketAddr::from((Ipv4Addr::LOCALHOST, index)))
}

fn record(index: u16, life: LifeState) -> Record {
  let centre = "concord".parse().expect("a valid name");
  Record {
    life,
    ..Record::new(node(index), Incarnation(1), centre)
  }
}

fn statuses(roll: &Roll) -> Vec<Status> {
  let members = roll.members();
  members.iter().map(|member| member.status).collect()
}

/// Guards against a service that is given up because the directory lost its entries: a store that
/// is away for some nodes only.
#[test]
fn a_lapsed_node_stays_until_a_call_does_not_reach_it() {
  let now = Instant::now();
  let mut roll = Roll::new();
  assert!(roll.put(record(1, LifeState::Serving), 5, now));
  assert!(roll.put(record(2, LifeState::Serving), 6, now));
  assert!(!roll.unreachable(node(1)), "its entry stands");
  assert!(roll.lapse(node(1), 7, now));
  assert_eq!(statuses(&roll), [Status::Suspect, Status::Alive]);
  assert!(roll.unreachable(node(1)));
  assert_eq!(statuses(&roll), [Status::Alive]);
}

/// Guards against an older state that comes late and replaces a newer one.
#[test]
fn older_versions_change_nothing() {
  let now = Instant::now();
  let mut roll = Roll::new();
  roll.put(record(1, LifeState::Draining), 9, now);
  assert!(!roll.put(record(1, LifeState::Serving), 8, now));
  assert!(!roll.lapse(node(1), 8, now));
  assert_eq!(roll.members()[0].record.life, LifeState::Draining);
  assert_eq!(statuses(&roll), [Status::Alive]);
}

/// Guards against nodes that stay for ever after their removal was missed.
#[test]
fn a_listing_lapses_what_it_does_not_have() {
  let now = Instant::now();
  let mut roll = Roll::new();
  roll.put(record(1, LifeState::Serving), 5, now);
  roll.put(record(2, LifeState::Serving), 12, now);
  assert!(
    roll.keep_only(&[], 10, now),
    "the second was written after it"
  );
  assert_eq!(statuses(&roll), [Status::Suspect, Status::Alive]);
  assert!(!roll.forget(now + Duration::from_secs(30)));
  assert!(roll.forget(now + Duration::from_secs(61)));
  assert_eq!(statuses(&roll), [Status::Alive]);
}
