//! The HTTP client of the platform against the stand-in and its faults.

use {
  bytes::Bytes,
  cactusyoke_platform::{Expect, HttpStore, Lease, Store, StoreError, StoreLimits, Versioned},
  cactusyoke_standins::platform::{Outage, Platform, Quotas},
  std::time::{Duration, Instant},
};

const KEY: &str = "config/head";

async fn start() -> (Platform, HttpStore) {
  let platform = Platform::start().await.unwrap();
  let store = client(&platform);
  (platform, store)
}

fn client(platform: &Platform) -> HttpStore {
  HttpStore::new(
    platform.address(),
    StoreLimits {
      call: Duration::from_millis(300),
      ..StoreLimits::default()
    },
  )
}

fn value(text: &'static str, version: u64) -> Versioned {
  Versioned {
    value: Bytes::from_static(text.as_bytes()),
    version,
  }
}

async fn put(store: &HttpStore, text: &'static str, expect: Expect) -> Result<u64, StoreError> {
  store
    .put(KEY, Bytes::from_static(text.as_bytes()), expect)
    .await
}

/// Guards against a write that takes effect although the key has moved on.
#[tokio::test]
async fn writes_only_what_matches_the_expectation() {
  let (_platform, store) = start().await;
  let conflict = |current| Err(StoreError::Conflict { current });
  assert_eq!(store.get(KEY).await, Ok(None));
  assert_eq!(put(&store, "a", Expect::Version(1)).await, conflict(None));
  assert_eq!(put(&store, "a", Expect::Absent).await, Ok(1));
  assert_eq!(put(&store, "b", Expect::Absent).await, conflict(Some(1)));
  assert_eq!(put(&store, "b", Expect::Version(1)).await, Ok(2));
  assert_eq!(
    put(&store, "c", Expect::Version(1)).await,
    conflict(Some(2))
  );
  assert_eq!(put(&store, "d", Expect::Any).await, Ok(3));
  assert_eq!(store.get(KEY).await, Ok(Some(value("d", 3))));
}

/// Guards against a lost answer that reads as a failed write.
#[tokio::test]
async fn a_lost_answer_is_not_a_failure() {
  let (platform, store) = start().await;
  platform.faults().lose_answers(1);
  assert_eq!(
    put(&store, "a", Expect::Absent).await,
    Err(StoreError::TimedOut)
  );
  assert_eq!(store.get(KEY).await, Ok(Some(value("a", 1))));
}

/// Guards against a call that waits for ever, or reuses a connection that has gone silent.
#[tokio::test]
async fn an_outage_ends_calls_in_time_and_leaves_no_trace() {
  let (platform, store) = start().await;
  put(&store, "a", Expect::Absent).await.unwrap();
  for outage in [Outage::Hang, Outage::Refuse] {
    platform.faults().set_outage(outage);
    let start = Instant::now();
    assert_eq!(store.get(KEY).await, Err(StoreError::TimedOut));
    assert!(start.elapsed() < Duration::from_secs(1));
    platform.faults().set_outage(Outage::None);
    assert_eq!(store.get(KEY).await, Ok(Some(value("a", 1))));
  }
}

/// Guards against an unreachable platform that reads as a write in doubt.
#[tokio::test]
async fn a_stopped_platform_is_unavailable() {
  let (platform, store) = start().await;
  platform.stop().await;
  let error = put(&store, "a", Expect::Absent).await.unwrap_err();
  assert!(matches!(error, StoreError::Unavailable { .. }), "{error}");
}

/// Guards against a watch that misses a write or never ends.
#[tokio::test]
async fn a_watch_sees_the_next_write() {
  let (platform, store) = start().await;
  let second = Duration::from_secs(1);
  let none = store.watch(KEY, 0, Duration::from_millis(50)).await;
  assert_eq!(none, Ok(None));
  let writer = client(&platform);
  let (seen, written) = tokio::join!(store.watch(KEY, 0, second), async {
    tokio::time::sleep(Duration::from_millis(50)).await;
    put(&writer, "a", Expect::Absent).await
  });
  assert_eq!(written, Ok(1));
  assert_eq!(seen, Ok(Some(value("a", 1))));
}

/// Guards against two holders of one lease.
#[tokio::test]
async fn a_lease_has_one_holder_until_it_expires() {
  let (_platform, store) = start().await;
  let short = Duration::from_millis(100);
  assert_eq!(store.lease("l", "a", short).await, Ok(Lease::Granted));
  assert_eq!(
    store.lease("l", "b", short).await,
    Ok(Lease::Held { holder: "a".into() })
  );
  tokio::time::sleep(short).await;
  assert_eq!(store.lease("l", "b", short).await, Ok(Lease::Granted));
}

/// Guards against a quota or size refusal that reads as an outage.
#[tokio::test]
async fn refusals_are_told_apart() {
  let quotas = Quotas {
    reads: 10,
    writes: 1,
  };
  let platform = Platform::with_quotas(quotas).await.unwrap();
  let store = client(&platform);
  let large = Bytes::from(vec![0; (1 << 20) + 1]);
  assert_eq!(
    store.put(KEY, large, Expect::Any).await,
    Err(StoreError::TooLarge)
  );
  assert_eq!(put(&store, "a", Expect::Any).await, Ok(1));
  assert_eq!(put(&store, "b", Expect::Any).await, Err(StoreError::Quota));
  assert_eq!(platform.calls().refused, 1);
}

/// Guards against a connection for each call, which costs the platform more than the call.
#[tokio::test]
async fn connections_are_reused() {
  let (platform, store) = start().await;
  for _ in 0..100 {
    store.get(KEY).await.unwrap();
  }
  assert_eq!(platform.calls().connections, 1);
}

/// Guards against a pool of connections that have all gone silent, each of which costs a time limit.
#[tokio::test]
async fn silent_connections_cost_one_time_limit() {
  let (platform, store) = start().await;
  let (a, b, c) = tokio::join!(store.get(KEY), store.get(KEY), store.get(KEY));
  assert_eq!((a, b, c), (Ok(None), Ok(None), Ok(None)));
  assert_eq!(platform.calls().connections, 3);
  platform.faults().silence_connections();
  assert_eq!(store.get(KEY).await, Err(StoreError::TimedOut));
  assert_eq!(store.get(KEY).await, Ok(None));
}
