//! Requests while nodes and upstreams leave, drain, pause and return.

mod common;

use {
  cactusyoke_model::full_body,
  cactusyoke_operators::Attribution,
  cactusyoke_standins::upstream::{Client, ClientError, ReceivedResponse},
  common::{Cluster, ClusterBuilder, eventually, outcome, slow_body},
  futures_util::future::join_all,
  http::{Request, StatusCode},
  rustix::process::Signal,
  std::{sync::Arc, time::Duration},
  tokio::task::JoinHandle,
};

const PRESET: &str = "
name: test
classes: [orders, lookups]
routes:
  - {name: place, service: front, methods: [POST], path: /orders, class: orders, idempotent: false, deadline: 5s, retries: 2}
  - {name: look-up, service: front, methods: [GET], path: /front, class: lookups, idempotent: true, deadline: 5s, retries: 3}
  - {name: echo, service: front, methods: [POST], path: /echo, class: lookups, idempotent: false, deadline: 20s}
";

/// Length of one chunk of [`slow_body`], in bytes.
const CHUNK: usize = 3000;

async fn cluster(shutdown: &'static str) -> Cluster {
  ClusterBuilder::new(PRESET)
    .service("front", 3, &[])
    .capacity(60, Duration::from_millis(5))
    .shutdown_limit(shutdown)
    .start()
    .await
}

async fn order(cluster: &Cluster, node: usize) -> Result<ReceivedResponse, ClientError> {
  let request = Request::post("/orders").body(full_body("body"));
  cluster
    .send(node, request.expect("the request is correct"))
    .await
}

/// Sends orders and expects that each one succeeds. To prove that an upstream gets no orders, tests
/// make it fail all of them.
async fn assert_orders(cluster: &Cluster, entries: &[usize], count: usize) {
  for number in 0..count {
    let received = order(cluster, entries[number % entries.len()]).await;
    let status = received.as_ref().map(|received| received.status);
    let reported = outcome(&received);
    assert_eq!(status, Ok(StatusCode::OK), "order {number}: {reported}");
  }
}

/// Starts requests whose bodies take two seconds in each direction, and waits until all of them are
/// being streamed.
async fn stream_bodies(
  cluster: &Cluster,
  count: usize,
) -> Vec<JoinHandle<Result<ReceivedResponse, ClientError>>> {
  let client = Arc::new(Client::default());
  let requests = (0..count).map(|number| {
    let (client, target) = (Arc::clone(&client), cluster.callers_address(number % 3));
    let request = Request::post("/echo").header("te", "trailers");
    let request = request.body(slow_body(CHUNK));
    let request = request.expect("the request is correct");
    tokio::spawn(async move { client.exchange(target, request).await })
  });
  let requests = requests.collect();
  eventually("all bodies are streamed", || async {
    let mut streamed = 0;
    for node in 0..3 {
      streamed += cluster.in_flight(node).await;
    }
    streamed == count
  })
  .await;
  requests
}

fn is_complete(received: &Result<ReceivedResponse, ClientError>) -> bool {
  received.as_ref().is_ok_and(|received| {
    received.status == StatusCode::OK
      && received.length == 100 * CHUNK as u64
      && !received.trailers.is_empty()
      && received.is_intact()
  })
}

fn attribution() -> Attribution {
  Attribution {
    operator: "ana".to_owned(),
    reason: "a test".to_owned(),
  }
}

// Guards against sending new requests to an upstream that has announced that it drains.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_upstream_gets_no_new_work() {
  let cluster = cluster("20s").await;
  assert_orders(&cluster, &[0, 1, 2], 30).await;
  assert!(cluster.upstreams[0].drain().await);
  cluster.upstreams[0].faults().set_fail_fast(true);
  assert_orders(&cluster, &[0, 1, 2], 300).await;
}

// Guards against sending requests to an upstream that crashed without notice, where they would be
// lost.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_is_gone_gets_no_more_work() {
  let cluster = cluster("20s").await;
  cluster.upstreams[0].crash().await;
  // Without renewals it counts as gone after at most 5 s.
  eventually("the others know that it is gone", || async {
    let status = cluster.operator(1).status().await;
    let members = status.expect("the node answers").members;
    members
      .iter()
      .filter(|member| member.state == "serving")
      .count()
      == 2
  })
  .await;
  assert_orders(&cluster, &[0, 1, 2], 300).await;
}

// Guards against a draining node that accepts requests from nodes that do not know yet that it
// drains, and against requests that fail because of the drain.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_node_refuses_at_once_and_serves_after_undrain() {
  let cluster = cluster("20s").await;
  assert_orders(&cluster, &[0, 1, 2], 30).await;
  let operator = cluster.operator(0);
  operator
    .drain(&attribution())
    .await
    .expect("the node drains");
  cluster.upstreams[0].faults().set_fail_fast(true);
  assert_eq!(outcome(&order(&cluster, 0).await), "not-run draining");
  assert_orders(&cluster, &[1, 2], 300).await;
  operator
    .undrain(&attribution())
    .await
    .expect("the node serves");
  eventually("the node gets work again", || async {
    let received = order(&cluster, 1).await;
    received.is_ok_and(|received| received.status == StatusCode::INTERNAL_SERVER_ERROR)
  })
  .await;
}

// Guards against bodies that are truncated because a node shuts down or an upstream drains.
#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_truncates_no_long_body() {
  let mut cluster = cluster("20s").await;
  let requests = stream_bodies(&cluster, 36).await;
  assert!(cluster.in_flight(0).await > 0 && cluster.in_flight(1).await > 0);
  cluster.nodes[0].signal(Signal::TERM);
  assert!(cluster.upstreams[1].drain().await);
  for (number, received) in join_all(requests).await.into_iter().enumerate() {
    let received = received.expect("the request ends");
    assert!(is_complete(&received), "{number}: {}", outcome(&received));
  }
  let status = cluster.nodes[0].wait(Duration::from_secs(30));
  let status = status.expect("the node has stopped");
  assert_eq!(status.code(), Some(0), "{}", cluster.nodes[0].log());
  assert_orders(&cluster, &[2], 30).await;
}

// Guards against a shutdown that waits forever, or that cuts off calls without reporting it.
#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_that_reaches_its_limit_is_reported() {
  let mut cluster = cluster("500ms").await;
  let requests = stream_bodies(&cluster, 12).await;
  cluster.nodes[0].signal(Signal::TERM);
  let status = cluster.nodes[0].wait(Duration::from_secs(30));
  let status = status.expect("the node has stopped");
  let log = cluster.nodes[0].log();
  assert_eq!(status.code(), Some(1), "{log}");
  assert!(log.contains("raise `shutdown_limit`"), "{log}");
  let mut truncated = 0;
  for received in join_all(requests).await {
    let received = received.expect("the request ends");
    // An answer is complete, or the caller can tell that it is not.
    let reported = outcome(&received);
    assert!(
      reported != "answered" || is_complete(&received),
      "{reported}"
    );
    truncated += usize::from(reported != "answered");
  }
  assert!(truncated > 0, "the limit cut off nothing");
}

// Guards against a paused node that delays requests on the other nodes, or is not used again after
// it resumes.
#[tokio::test(flavor = "multi_thread")]
async fn others_route_around_a_paused_node_until_it_is_back() {
  let cluster = cluster("20s").await;
  cluster.nodes[0].signal(Signal::STOP);
  eventually("30 lookups in turn are answered", || async {
    for number in 0..30 {
      if outcome(&cluster.get(1 + number % 2, "/front/a").await) != "answered" {
        return false;
      }
    }
    true
  })
  .await;
  eventually("the others know that it is lost", || async {
    let status = cluster.operator(1).status().await;
    let members = status.expect("the node answers").members;
    members
      .iter()
      .filter(|member| member.status == "alive")
      .count()
      == 2
  })
  .await;
  assert_orders(&cluster, &[1, 2], 100).await;
  cluster.nodes[0].signal(Signal::CONT);
  cluster.wait_serving().await;
  assert_orders(&cluster, &[0, 1, 2], 30).await;
  cluster.upstreams[0].faults().set_fail_fast(true);
  eventually("the node gets work again", || async {
    let received = order(&cluster, 1).await;
    received.is_ok_and(|received| received.status == StatusCode::INTERNAL_SERVER_ERROR)
  })
  .await;
}
