//! Requests through real node processes, along a chain of three services.

mod common;

use {
  cactusyoke_model::full_body,
  common::{Cluster, ClusterBuilder},
  http::Request,
  rustix::process::Signal,
  std::time::Duration,
};

const PRESET: &str = "
name: test
classes: [orders, lookups]
routes:
  - {name: place, service: front, methods: [POST], path: /orders, class: orders, idempotent: false, deadline: 10s, retries: 2}
  - {name: look-up, service: front, methods: [GET, PUT], path: /front, class: lookups, idempotent: true, deadline: 10s, retries: 3}
  - {name: size, service: front, methods: [GET], path: /size, class: lookups, idempotent: true, deadline: 30s}
  - {name: echo, service: front, methods: [POST], path: /echo, class: lookups, idempotent: true, deadline: 30s}
  - {name: middle, service: middle, methods: [GET], path: /middle, class: lookups, idempotent: true, deadline: 10s}
  - {name: back, service: back, methods: [GET], path: /back, class: lookups, idempotent: true, deadline: 10s}
";

async fn start_chain() -> Cluster {
  ClusterBuilder::new(PRESET)
    .service(
      "front",
      3,
      &[("/front", "/middle/x"), ("/orders", "/middle/x")],
    )
    .service("middle", 3, &[("/middle", "/back/x")])
    .service("back", 3, &[])
    .start()
    .await
}

fn tagged(method: &str, path: &str, tag: &str) -> Request<cactusyoke_model::Body> {
  let request = Request::builder()
    .method(method)
    .uri(path)
    .header("x-request-tag", tag);
  request
    .body(full_body("body"))
    .expect("the request is correct")
}

// Guards against a chain that answers without running each of its services exactly once.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_runs_once_in_each_of_three_services() {
  let cluster = start_chain().await;
  for entry in 0..9 {
    let tag = format!("chain-{entry}");
    let received = cluster.send(entry, tagged("PUT", "/front/a", &tag)).await;
    let received = received.expect("the request is answered");
    assert_eq!(received.status, 200, "{}", received.text());
    assert_eq!(received.header("cactusyoke-outcome"), "answered");
    assert!(received.is_intact());
    let nested = [
      tag.clone(),
      format!("{tag}>/middle/x"),
      format!("{tag}>/middle/x>/back/x"),
    ];
    for tag in nested {
      assert_eq!(cluster.runs.of(&tag).started, 1, "{tag}");
    }
  }
}

// Guards against bodies that are buffered as a whole, truncated or block other answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_answer_arrives_complete_while_small_ones_go_on() {
  let cluster = start_chain().await;
  let length = 32 << 20;
  let path = format!("/size/{length}");
  let large = cluster.get(8, &path);
  let small = async {
    for _ in 0..20 {
      let received = cluster
        .get(8, "/front/a")
        .await
        .expect("the request is answered");
      assert_eq!(received.status, 200);
    }
  };
  let (large, ()) = tokio::join!(large, small);
  let large = large.expect("the request is answered");
  assert_eq!(large.length, length);
  assert!(large.is_intact());
  assert!(
    !large.trailers.is_empty(),
    "the trailer with the hash is missing"
  );
}

// Guards against a second run of a keyed request that its caller sends again, through another node.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_is_sent_again_gets_the_first_answer() {
  let cluster = start_chain().await;
  cluster.wait_keyed_ready("/orders").await;
  let mut bodies = Vec::new();
  for entry in [0, 4, 8] {
    let received = cluster
      .send_keyed(entry, "/orders", "order-1", "order")
      .await;
    let received = received.expect("the request is answered");
    assert_eq!(received.status, 200, "{}", received.text());
    bodies.push(received.body);
  }
  assert_eq!(cluster.runs.of("order").started, 1);
  assert!(bodies.iter().all(|body| *body == bodies[0]));
}

// Guards against requests that are cut off by the shutdown of a node, or sent to it during that.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_is_told_to_stop_cuts_off_nothing() {
  let mut cluster = ClusterBuilder::new(PRESET)
    .service("front", 3, &[])
    .capacity(20, Duration::from_millis(300))
    .start()
    .await;
  let requests = (0..30).map(|number| {
    let cluster = &cluster;
    async move {
      let tag = format!("stop-{number}");
      cluster
        .send(1 + number % 2, tagged("PUT", "/front/a", &tag))
        .await
    }
  });
  let requests = futures_util::future::join_all(requests);
  let stop = async {
    tokio::time::sleep(Duration::from_millis(100)).await;
    cluster.nodes[0].signal(Signal::TERM);
  };
  let (received, ()) = tokio::join!(requests, stop);
  for received in received {
    let received = received.expect("the request is answered");
    assert_eq!(received.status, 200, "{}", received.text());
  }
  let status = cluster.nodes[0]
    .wait(Duration::from_secs(30))
    .expect("the node has stopped");
  assert!(status.success(), "{}", cluster.nodes[0].log());
  for number in 0..10 {
    let received = cluster
      .get(1, "/front/a")
      .await
      .expect("the request is answered");
    assert_eq!(
      received.status,
      200,
      "request {number}: {}",
      received.text()
    );
  }
}
