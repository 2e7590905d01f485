//! Crashes of upstreams: requests that cause them are quarantined, others go on.

mod common;
mod outcome_support;

use {
  cactusyoke_model::full_body,
  cactusyoke_standins::load::{ClassLoad, run},
  common::{Cluster, eventually, outcome},
  futures_util::future::join_all,
  http::Request,
  outcome_support::{cluster, load},
  std::time::Duration,
};

/// Restarts each upstream that has crashed; returns their number.
async fn restart_crashed(cluster: &mut Cluster) -> usize {
  let mut crashes = 0;
  for upstream in &mut cluster.upstreams {
    if upstream.is_crashed() {
      crashes += 1;
      upstream.restart().await.expect("its port is free");
    }
  }
  crashes
}

/// Sends the request that crashes upstreams 30 times, and restarts each upstream that it crashed.
/// Returns the number of crashes and the reported outcomes.
async fn repeat_poison(cluster: &mut Cluster) -> (usize, Vec<String>) {
  let mut crashes = 0;
  let mut reported = Vec::new();
  for attempt in 0..30 {
    let received = cluster.get(attempt % 3, "/front/poison").await;
    reported.push(outcome(&received));
    crashes += restart_crashed(cluster).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
  }
  (crashes, reported)
}

// Guards against a request that crashes one upstream after the other while its caller sends it
// again, and against a quarantine of requests that were merely in flight.
#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_is_quarantined_and_others_go_on() {
  let mut cluster = cluster(Duration::from_millis(20)).await;
  for upstream in &cluster.upstreams {
    upstream.faults().set_poison_path(Some("/front/poison"));
  }
  let classes = vec![ClassLoad::get("lookup", "/front/a")];
  let report = tokio::spawn(run(load(&cluster, classes, 50.0, 8)));
  let (crashes, reported) = repeat_poison(&mut cluster).await;
  // One crash makes the request suspect; each node may learn of that only after running it once.
  assert!(
    (2..=3).contains(&crashes),
    "{crashes} crashes: {reported:?}"
  );
  assert!(
    reported[10..]
      .iter()
      .all(|reported| reported == "not-run quarantined"),
    "{reported:?}"
  );
  for node in 0..3 {
    let listed = cluster.operator(node).quarantine().await;
    let listed = listed.expect("the node answers");
    assert_eq!(listed.len(), 1, "node {node}: {listed:?}");
  }
  let report = report.await.expect("the load ends");
  let lookups = &report.classes["lookup"];
  assert!(lookups.answered * 10 > lookups.sent * 9, "{lookups:?}");
  assert_eq!(report.wrongly_not_run(&cluster.runs), Vec::<&str>::new());
}

// Guards against crashes that do not count because they close connections in use again, against the
// quarantine of ordinary requests that are in flight in the same crashes, and against a node that
// starts later and runs the request once more.
#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_is_found_among_many_on_reused_connections() {
  let mut cluster = cluster(Duration::from_millis(20)).await;
  for upstream in &cluster.upstreams {
    upstream.faults().set_poison_path(Some("/front/poison"));
  }
  let classes = vec![
    ClassLoad::get("lookup", "/front/a"),
    ClassLoad::get("other", "/front/b"),
  ];
  let report = tokio::spawn(run(load(&cluster, classes, 200.0, 12)));
  tokio::time::sleep(Duration::from_secs(3)).await;
  let (crashes, reported) = repeat_poison(&mut cluster).await;
  assert!(
    (2..=3).contains(&crashes),
    "{crashes} crashes: {reported:?}"
  );
  assert!(
    reported[10..]
      .iter()
      .all(|reported| reported == "not-run quarantined"),
    "{reported:?}"
  );
  let report = report.await.expect("the load ends");
  for (name, class) in &report.classes {
    let (answered, sent) = (class.answered, class.sent);
    assert!(answered * 10 > sent * 9, "{name}: {answered} of {sent}");
  }
  assert_eq!(report.wrongly_not_run(&cluster.runs), Vec::<&str>::new());
  cluster.nodes[1].restart();
  for node in 0..3 {
    eventually("the request is in quarantine", || async {
      let listed = cluster.operator(node).quarantine().await;
      listed.is_ok_and(|listed| listed.len() == 1)
    })
    .await;
  }
}

/// Upload of `length` bytes that all have the value `byte`.
fn upload(tag: &str, byte: u8, length: usize) -> Request<cactusyoke_model::Body> {
  let request = Request::put("/front/upload").header("x-request-tag", tag);
  request
    .body(full_body(vec![byte; length]))
    .expect("the request is correct")
}

// Guards against a large upload that crashes one upstream after the other, because others to the same
// path complete, and against refusing those others.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_poison_upload_is_told_from_others_to_its_path() {
  const LENGTH: usize = 100_000;
  let mut cluster = cluster(Duration::from_millis(5)).await;
  for upstream in &cluster.upstreams {
    upstream.faults().set_poison_tag(Some("poison"));
  }
  let mut crashes = 0;
  let mut reported = Vec::new();
  for attempt in 0..12 {
    let received = cluster.send(attempt % 3, upload("poison", 1, LENGTH)).await;
    reported.push(outcome(&received));
    crashes += restart_crashed(&mut cluster).await;
    let others = (0..6).map(|number| {
      let cluster = &cluster;
      async move {
        let tag = format!("other-{attempt}-{number}");
        let received = cluster.send(number % 3, upload(&tag, 2, LENGTH)).await;
        outcome(&received)
      }
    });
    let others = join_all(others).await;
    let refused = others.iter().filter(|other| other.contains("quarantined"));
    assert_eq!(refused.count(), 0, "{others:?}");
    tokio::time::sleep(Duration::from_millis(300)).await;
  }
  assert!(crashes <= 3, "{crashes} crashes: {reported:?}");
  assert!(
    reported[8..]
      .iter()
      .all(|reported| reported == "not-run quarantined"),
    "{reported:?}"
  );
}

// Guards against ordinary requests that wait one for the other, or are refused, after crashes that
// none of them causes.
#[tokio::test(flavor = "multi_thread")]
async fn ordinary_requests_are_served_through_several_crashes() {
  let mut cluster = cluster(Duration::from_millis(100)).await;
  let classes = vec![
    ClassLoad::get("lookup", "/front/a"),
    ClassLoad::get("other", "/front/b"),
  ];
  let report = tokio::spawn(run(load(&cluster, classes, 200.0, 10)));
  for round in 0..6 {
    tokio::time::sleep(Duration::from_secs(1)).await;
    let upstream = &mut cluster.upstreams[round % 3];
    upstream.crash().await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    upstream.restart().await.expect("its port is free");
  }
  let report = report.await.expect("the load ends");
  for (name, class) in &report.classes {
    let (answered, sent) = (class.answered, class.sent);
    assert!(answered * 20 > sent * 19, "{name}: {answered} of {sent}");
  }
  for node in 0..3 {
    let listed = cluster.operator(node).quarantine().await;
    assert_eq!(listed.expect("the node answers"), []);
  }
}
