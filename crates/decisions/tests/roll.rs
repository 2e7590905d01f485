//! Local cache of the platform's directory of nodes.

use {
  cactusyoke_decisions::membership::{DirectoryCache, MemberRecord, Status, UpstreamState},
  cactusyoke_model::{Incarnation, NodeId},
  std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
  },
};

fn node(index: u16) -> NodeId {
  NodeId(SocketAddr::from((Ipv4Addr::LOCALHOST, index)))
}

fn record(index: u16, state: UpstreamState) -> MemberRecord {
  let centre = "concord".parse().expect("a valid name");
  MemberRecord {
    state,
    ..MemberRecord::new(node(index), Incarnation(1), centre)
  }
}

fn statuses(cache: &DirectoryCache) -> Vec<Status> {
  let members = cache.members();
  members.iter().map(|member| member.status).collect()
}

/// Guards against losing all instances of a service because the directory removed their entries,
/// as happens when only those nodes cannot reach the store to renew their leases.
#[test]
fn an_unlisted_node_stays_until_a_call_does_not_reach_it() {
  let now = Instant::now();
  let mut cache = DirectoryCache::new();
  assert!(cache.put(record(1, UpstreamState::Serving), 5, now));
  assert!(cache.put(record(2, UpstreamState::Serving), 6, now));
  assert!(
    !cache.report_unreachable(node(1)),
    "its entry is still listed"
  );
  assert!(cache.mark_unlisted(node(1), 7, now));
  assert_eq!(statuses(&cache), [Status::Suspect, Status::Alive]);
  assert!(cache.report_unreachable(node(1)));
  assert_eq!(statuses(&cache), [Status::Alive]);
}

/// Guards against an older state that arrives late and replaces a newer one.
#[test]
fn older_versions_change_nothing() {
  let now = Instant::now();
  let mut cache = DirectoryCache::new();
  cache.put(record(1, UpstreamState::Draining), 9, now);
  assert!(!cache.put(record(1, UpstreamState::Serving), 8, now));
  assert!(!cache.mark_unlisted(node(1), 8, now));
  assert_eq!(cache.members()[0].record.state, UpstreamState::Draining);
  assert_eq!(statuses(&cache), [Status::Alive]);
}

/// Guards against nodes that stay listed for ever because the event of their removal was missed,
/// and against a listing that affects entries written after it.
#[test]
fn a_listing_marks_missing_nodes_as_unlisted() {
  let now = Instant::now();
  let mut cache = DirectoryCache::new();
  cache.put(record(1, UpstreamState::Serving), 5, now);
  cache.put(record(2, UpstreamState::Serving), 12, now);
  assert!(
    cache.apply_listing(&[], 10, now),
    "the second entry was written after the listing"
  );
  assert_eq!(statuses(&cache), [Status::Suspect, Status::Alive]);
  assert!(!cache.prune(now + Duration::from_secs(30)));
  assert!(cache.prune(now + Duration::from_secs(61)));
  assert_eq!(statuses(&cache), [Status::Alive]);
}
