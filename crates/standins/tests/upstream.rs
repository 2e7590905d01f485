//! The stand-in of an upstream behaves as the tests of other packages assume.

use {
  cactusyoke_model::{Slots, empty_body},
  cactusyoke_standins::upstream::{
    Client, ClientError, Config, HASH_HEADER, ReceivedResponse, ServiceTime, TAG_HEADER, Upstream,
    pattern_body, pattern_hash,
  },
  http::{Method, Request, StatusCode},
  std::{sync::Arc, time::Duration},
  tokio::time::{sleep, timeout},
};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

async fn start(config: Config) -> Upstream {
  Upstream::start(config).await.expect("a free port")
}

fn config() -> Config {
  Config::new("plaques".parse().expect("a valid name"))
}

async fn send(
  client: &Client,
  upstream: &Upstream,
  path: &str,
  tag: &str,
) -> Result<ReceivedResponse, ClientError> {
  let request = Request::get(path)
    .header(TAG_HEADER, tag)
    .header("te", "trailers")
    .body(empty_body())
    .expect("valid");
  client.exchange(upstream.address(), request).await
}

/// Guards against responses whose damage the check of their hash misses, and against request bodies
/// that arrive at the stand-in incomplete or changed.
#[tokio::test]
async fn bodies_carry_their_hash() {
  let upstream = start(config()).await;
  let client = Client::default();
  let received = send(&client, &upstream, "/size/100001", "").await;
  let mut received = received.expect("an answer");
  assert_eq!(received.length, 100_001);
  assert_eq!(received.hash, pattern_hash(100_001));
  assert!(received.trailers.contains_key(HASH_HEADER));
  assert!(received.is_intact());
  received.hash ^= 1;
  assert!(!received.is_intact());
  let request = Request::builder()
    .method(Method::POST)
    .uri("/record")
    .body(pattern_body(70_000))
    .expect("valid");
  let received = client.exchange(upstream.address(), request).await;
  let received = received.expect("an answer");
  assert_eq!(
    received.text(),
    format!("70000 {:016x}\n", pattern_hash(70_000))
  );
}

/// Guards against a stand-in that runs more requests at once than it has slots, so that tests of
/// overload would not overload it.
#[tokio::test]
async fn slots_bound_what_runs() {
  let upstream = start(Config {
    slots: Slots(2),
    service_time: ServiceTime::Fixed(Duration::from_millis(40)),
    ..config()
  })
  .await;
  let client = Client::default();
  let started = std::time::Instant::now();
  let sent = (0..6).map(|_number| send(&client, &upstream, "/", "a"));
  for received in futures_util::future::join_all(sent).await {
    assert_eq!(received.expect("an answer").status, StatusCode::OK);
  }
  // Six requests in two slots take three rounds of 40 ms; only more slots could be faster.
  assert!(started.elapsed() >= Duration::from_millis(120));
  let runs = upstream.runs().of("a");
  assert_eq!((runs.started, runs.finished), (6, 6));
  assert!(runs.slot_time >= Duration::from_millis(240));
}

/// Guards against a poison request that leaves connections open, is missing from the run log, or
/// leaves a stand-in that cannot be restarted.
#[tokio::test]
async fn poison_closes_every_connection() {
  let mut upstream = start(Config {
    service_time: ServiceTime::Fixed(Duration::from_mins(10)),
    ..config()
  })
  .await;
  upstream.faults().set_poison_path(Some("/poison"));
  let client = Client::default();
  let other = send(&client, &upstream, "/slow", "b");
  let poison = async {
    while upstream.in_flight() == 0 {
      sleep(Duration::from_millis(1)).await;
    }
    send(&client, &upstream, "/poison", "p").await
  };
  let both = async { tokio::join!(other, poison) };
  let (other, poison) = timeout(TEST_TIMEOUT, both).await.expect("both end");
  assert_eq!(other.expect_err("a crash"), ClientError::NoHead);
  assert_eq!(poison.expect_err("a crash"), ClientError::NoHead);
  assert!(upstream.is_crashed());
  assert_eq!(upstream.runs().of("p").started, 1);
  let refused = send(&client, &upstream, "/", "").await;
  assert_eq!(refused.expect_err("a crash"), ClientError::Connect);
  upstream.faults().set_poison_path(None);
  upstream.faults().set_fail_fast(true);
  upstream.restart().await.expect("the port is free");
  let received = send(&client, &upstream, "/", "").await;
  let received = received.expect("an answer");
  assert_eq!(received.status, StatusCode::INTERNAL_SERVER_ERROR);
}

/// Guards against silenced connections that still answer, and against new ones that do not.
#[tokio::test]
async fn only_open_connections_go_silent() {
  let upstream = Arc::new(start(config()).await);
  let (old, new) = (Client::default(), Client::default());
  send(&old, &upstream, "/", "").await.expect("an answer");
  upstream.faults().silence_connections();
  send(&new, &upstream, "/", "").await.expect("an answer");
  let silent = timeout(Duration::from_millis(100), send(&old, &upstream, "/", "")).await;
  silent.expect_err("no answer");
}

/// Guards against a request that keeps its slot after its caller has closed the connection.
#[tokio::test]
async fn lost_callers_free_their_slot() {
  let upstream = start(Config {
    slots: Slots(1),
    service_time: ServiceTime::Fixed(Duration::from_mins(10)),
    ..config()
  })
  .await;
  let client = Client::default();
  let received = async {
    while upstream.in_flight() == 0 {
      sleep(Duration::from_millis(1)).await;
    }
  };
  tokio::select! {
    _ = send(&client, &upstream, "/", "lost") => panic!("an answer"),
    received = timeout(TEST_TIMEOUT, received) => received.expect("a request"),
  }
  let idle = async {
    while upstream.in_flight() > 0 {
      sleep(Duration::from_millis(1)).await;
    }
  };
  timeout(TEST_TIMEOUT, idle).await.expect("the slot is free");
  assert_eq!(upstream.runs().of("lost").finished, 0);
}

/// Guards against `/health` and `/load` that ignore the overrides: tests of wrong reports would
/// then see correct ones.
#[tokio::test]
async fn health_and_load_can_be_overridden() {
  let upstream = start(config()).await;
  let client = Client::default();
  let health = send(&client, &upstream, "/health", "").await;
  assert_eq!(health.expect("an answer").status, StatusCode::OK);
  upstream.faults().override_health(Some(false));
  upstream.faults().override_load(Some(9));
  let health = send(&client, &upstream, "/health", "").await;
  let health = health.expect("an answer").status;
  assert_eq!(health, StatusCode::SERVICE_UNAVAILABLE);
  let load = send(&client, &upstream, "/load", "").await;
  assert_eq!(load.expect("an answer").text(), "{\"in_flight\":9}");
}
