//! Outcomes given to callers agree with what ran, while nodes and upstreams fail.

mod common;
mod outcome_support;

use {
  cactusyoke_model::full_body,
  cactusyoke_standins::load::{ClassLoad, run},
  common::{eventually, outcome, slow_body},
  futures_util::future::join_all,
  http::{Method, Request},
  outcome_support::{cluster, load},
  std::{sync::Arc, time::Duration},
};

fn post(name: &str, keyed: bool, retries: u32) -> ClassLoad {
  ClassLoad {
    method: Method::POST,
    body_length: 3000,
    keyed,
    retries,
    ..ClassLoad::get(name, "/orders")
  }
}

fn order(tag: &str) -> Request<cactusyoke_model::Body> {
  let request = Request::post("/orders").header("x-request-tag", tag);
  request
    .body(full_body("body"))
    .expect("the request is correct")
}

// Guards against `not run` for a request that reached an upstream, a second run of an order, and
// an answer that is not the caller's own, while an upstream crashes and a node is killed.
#[tokio::test(flavor = "multi_thread")]
async fn reported_outcomes_are_true_while_processes_die_under_load() {
  let mut cluster = cluster(Duration::from_millis(100)).await;
  cluster.wait_keyed_ready("/orders").await;
  let classes = vec![
    post("order", false, 0),
    post("keyed", true, 3),
    ClassLoad::get("lookup", "/front/a"),
  ];
  let report = tokio::spawn(run(load(&cluster, classes, 300.0, 6)));
  tokio::time::sleep(Duration::from_secs(1)).await;
  cluster.upstreams[1].crash().await;
  tokio::time::sleep(Duration::from_secs(1)).await;
  let restarted = cluster.upstreams[1].restart().await;
  restarted.expect("its port is free");
  tokio::time::sleep(Duration::from_secs(1)).await;
  cluster.nodes[2].kill();
  tokio::time::sleep(Duration::from_secs(1)).await;
  cluster.nodes[2].restart();
  let report = report.await.expect("the load ends");
  assert_eq!(report.wrongly_not_run(&cluster.runs), Vec::<&str>::new());
  for class in ["order", "keyed"] {
    let twice = report.run_twice(class, &cluster.runs);
    assert!(twice.is_empty(), "{class}: {twice:?}");
  }
  let affected = report.classes.values();
  let affected = affected
    .map(|class| class.unknown + class.connection_failed)
    .sum::<u64>();
  assert!(affected > 0, "no request was in flight during the faults");
  for (name, class) in &report.classes {
    assert_eq!(class.corrupt, 0, "{name}");
    // The faults affect a third of the instances for a third of the time.
    assert!(class.answered * 2 > class.sent, "{name}: {class:?}");
  }
}

// Guards against a truncated answer that looks complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_body_breaks_the_callers_connection() {
  let cluster = cluster(Duration::from_millis(1)).await;
  for number in 0..12 {
    // Lengths differ, since a request that breaks its connection twice is quarantined.
    for length in [100 + number, 1_000_000 + number] {
      let path = format!("/cut/{length}");
      let received = cluster.get(number % 3, &path).await;
      let reported = outcome(&received);
      assert!(
        received.is_err() || reported.starts_with("unknown"),
        "{path}: {reported}"
      );
    }
  }
}

// Guards against a body that ends early without an error when the node that streams it is killed,
// and against other bodies that are truncated with it.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_node_truncates_only_the_bodies_that_it_streams() {
  let mut cluster = cluster(Duration::from_millis(1)).await;
  let length = 5000;
  let target = cluster.callers_address(0);
  let client = Arc::new(cactusyoke_standins::upstream::Client::default());
  let requests = (0..12).map(|_| {
    let client = Arc::clone(&client);
    let request = Request::post("/echo").header("te", "trailers");
    let request = request.body(slow_body(length));
    let request = request.expect("the request is correct");
    tokio::spawn(async move { client.exchange(target, request).await })
  });
  let requests = requests.collect::<Vec<_>>();
  eventually("all bodies are streamed", || async {
    let mut streamed = 0;
    for node in 0..3 {
      streamed += cluster.in_flight(node).await;
    }
    streamed == 12
  })
  .await;
  let lost = cluster.in_flight(2).await;
  assert!(lost > 0, "the node that is killed streams nothing");
  cluster.nodes[2].kill();
  let received = join_all(requests).await;
  let mut complete = 0;
  for received in received {
    if let Ok(received) = received.expect("the request ends") {
      if received.header("cactusyoke-outcome") != "answered" {
        continue;
      }
      assert_eq!(received.length, 100 * length as u64);
      assert!(received.is_intact());
      assert!(!received.trailers.is_empty(), "the hash is missing");
      complete += 1;
    }
  }
  assert_eq!(complete, 12 - lost);
}

// Guards against an answer that reaches the wrong caller while connections are lost and replaced.
#[tokio::test(flavor = "multi_thread")]
async fn callers_get_their_own_answers_while_an_upstream_crashes() {
  let cluster = cluster(Duration::from_millis(20)).await;
  let sends = (0..300).map(|number: u64| {
    let cluster = &cluster;
    async move {
      tokio::time::sleep(Duration::from_millis(2 * number)).await;
      let request = Request::post("/echo").body(full_body(format!("body of {number}")));
      let request = request.expect("the request is correct");
      let received = cluster.send(number as usize % 3, request).await;
      let reported = outcome(&received);
      if reported == "answered" {
        let received = received.expect("it is answered");
        assert_eq!(received.text(), format!("body of {number}"));
      }
      reported
    }
  });
  let crash = async {
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.upstreams[1].crash().await;
  };
  let (reported, ()) = tokio::join!(join_all(sends), crash);
  let answered = reported
    .iter()
    .filter(|reported| *reported == "answered")
    .count();
  assert!((200..300).contains(&answered), "{reported:?}");
}

// Guards against a silent connection that fails more than one request, and against orders that run
// twice because one was sent again on another connection.
#[tokio::test(flavor = "multi_thread")]
async fn silent_upstream_connections_are_taken_out_of_use() {
  let cluster = cluster(Duration::from_millis(20)).await;
  let warm = (0..60).map(|number| cluster.get(number % 3, "/front/warm"));
  for received in join_all(warm).await {
    assert_eq!(outcome(&received), "answered");
  }
  for upstream in &cluster.upstreams {
    upstream.faults().silence_connections();
  }
  let mut unknown = 0;
  for round in 0.. {
    let before = unknown;
    let sends = (0..30).map(|number| {
      let cluster = &cluster;
      async move {
        let tag = format!("silent-{round}-{number}");
        let received = cluster.send(number % 3, order(&tag)).await;
        (tag, outcome(&received))
      }
    });
    for (tag, reported) in join_all(sends).await {
      let started = cluster.runs.of(&tag).started;
      assert!(started <= 1, "`{tag}` ran {started} times: {reported}");
      assert!(
        !reported.starts_with("not-run") || started == 0,
        "{tag}: {reported}"
      );
      unknown += usize::from(reported.starts_with("unknown"));
    }
    // The 60 requests before the fault opened at most 60 connections; each fails one request.
    assert!(unknown <= 60, "{unknown} requests failed");
    if unknown == before {
      break;
    }
  }
  assert!(unknown > 0, "no request met a silent connection");
  let lookups = (0..30).map(|number| cluster.get(number % 3, "/front/after"));
  for received in join_all(lookups).await {
    assert_eq!(outcome(&received), "answered");
  }
}

// Guards against an upstream that gets no requests, or all of them, because of what it reports.
#[tokio::test(flavor = "multi_thread")]
async fn reported_health_and_load_do_not_affect_routing() {
  let cluster = cluster(Duration::from_millis(20)).await;
  let faults = cluster.upstreams[0].faults();
  faults.override_health(Some(false));
  faults.override_load(Some(1_000_000));
  cluster.upstreams[1].faults().override_load(Some(0));
  // Longer than the interval at which reported health and load are read.
  tokio::time::sleep(Duration::from_secs(3)).await;
  let classes = vec![ClassLoad::get("lookup", "/front/a")];
  let report = run(load(&cluster, classes, 100.0, 3)).await;
  let lookups = &report.classes["lookup"];
  assert_eq!(lookups.answered, lookups.sent, "{lookups:?}");
  faults.set_fail_fast(true);
  eventually(
    "the upstream that reports a high load gets requests",
    || async {
      let received = cluster.get(1, "/front/a").await;
      received.is_ok_and(|received| received.status == 500)
    },
  )
  .await;
}
