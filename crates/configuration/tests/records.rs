//! Rosters, contacts and [`ObservedStore`] against the stand-in platform.

mod support;

use {
  bytes::Bytes,
  cactusyoke_configuration::{
    Contacts, Expect, LeaseStore, ObservedStore, Rosters, Store, StoreError,
  },
  cactusyoke_model::{DataCentre, NodeId},
  cactusyoke_standins::platform::{Outage, Platform},
  std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    time::Duration,
  },
  support::http_store,
};

fn centre() -> DataCentre {
  "east".parse().unwrap()
}

fn nodes(ports: std::ops::Range<u16>) -> BTreeSet<NodeId> {
  let address = |port| NodeId(([127, 0, 0, 1], port).into());
  ports.map(address).collect()
}

/// Guards against a roster that is replaced by a writer that has not read the current one, and
/// against a write reported as failed because only its answer was lost.
#[tokio::test]
async fn a_roster_changes_by_compare_and_swap() {
  let platform = Platform::start().await.unwrap();
  let rosters = Rosters::new(http_store(&platform), centre());
  let (a, b) = (Bytes::from_static(b"a"), Bytes::from_static(b"b"));
  assert_eq!(rosters.read(3).await, Ok(None));
  platform.faults().lose_answers(1);
  assert_eq!(rosters.replace(3, a.clone(), Expect::Absent).await, Ok(1));
  assert_eq!(
    rosters.replace(3, b.clone(), Expect::Absent).await,
    Err(StoreError::Conflict { current: Some(1) })
  );
  assert_eq!(
    rosters.replace(3, b.clone(), Expect::Version(1)).await,
    Ok(2)
  );
  let seen = rosters.watch(3, 1, Duration::from_secs(1)).await;
  assert_eq!(seen.unwrap().unwrap().value, b);
  assert_eq!(platform.value("roster/east/3"), Some(b));
}

/// Guards against a roster write reported as applied or refused while its result is unknown: the
/// platform hangs, so neither the write nor the read after it is answered.
#[tokio::test]
async fn an_unanswered_roster_write_stays_unresolved_while_the_platform_is_down() {
  let platform = Platform::start().await.unwrap();
  let rosters = Rosters::new(http_store(&platform), centre());
  platform.faults().set_outage(Outage::Hang);
  let value = Bytes::from_static(b"a");
  assert_eq!(
    rosters.replace(3, value, Expect::Absent).await,
    Err(StoreError::TimedOut)
  );
}

/// Guards against contacts that are written although unchanged, since each write costs quota.
#[tokio::test]
async fn contacts_are_written_only_when_they_change() {
  let platform = Platform::start().await.unwrap();
  let contacts = Contacts::new(http_store(&platform));
  assert_eq!(contacts.refresh(&centre(), &nodes(1..4)).await, Ok(true));
  assert_eq!(contacts.refresh(&centre(), &nodes(1..4)).await, Ok(false));
  assert_eq!(platform.calls().puts, 1);
  assert_eq!(contacts.refresh(&centre(), &nodes(1..40)).await, Ok(true));
  assert_eq!(contacts.read(&centre()).await, Ok(nodes(1..9)));
}

/// Guards against calls reported under the wrong kind or result.
#[tokio::test]
async fn calls_are_reported_by_kind_and_result() {
  let platform = Platform::start().await.unwrap();
  let calls = Arc::<Mutex<Vec<_>>>::default();
  let seen = Arc::clone(&calls);
  let observe = move |kind, result| seen.lock().unwrap().push((kind, result));
  let store = ObservedStore::new(http_store(&platform), observe);
  let value = Bytes::from_static(b"a");
  store.get("k").await.unwrap();
  store.put("k", value.clone(), Expect::Absent).await.unwrap();
  store.put("k", value, Expect::Absent).await.unwrap_err();
  store.watch("k", 0, Duration::ZERO).await.unwrap();
  store.grant(Duration::from_secs(1)).await.unwrap();
  platform.faults().set_outage(Outage::Refuse);
  store.get("k").await.unwrap_err();
  assert_eq!(
    *calls.lock().unwrap(),
    [
      ("get", "ok"),
      ("put", "ok"),
      ("put", "conflict"),
      ("watch", "ok"),
      ("lease", "ok"),
      ("get", "timed-out"),
    ]
  );
}
