//! Outcome given to a caller after a node has sent its request more than once.

mod common;

use {
  cactusyoke_model::empty_body,
  common::{ClusterBuilder, outcome},
  http::Request,
  std::time::Duration,
};

const PRESET: &str = "
name: test
classes: [lookups]
retry_ratio: 100
routes:
  - {name: look-up, service: front, methods: [GET], path: /front, class: lookups, idempotent: true, deadline: 5s, retries: 3}
";

// Guards against `not run` for a request whose first attempt may have run, because the last one
// was refused: here the first attempts crash their upstreams and the last one meets the quarantine.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_retry_does_not_hide_an_attempt_that_may_have_run() {
  let mut cluster = ClusterBuilder::new(PRESET)
    .service("front", 3, &[])
    .capacity(20, Duration::from_millis(20))
    .start()
    .await;
  for round in 0..6 {
    let path = format!("/front/poison-{round}");
    for upstream in &cluster.upstreams {
      upstream.faults().set_poison_path(Some(&path));
    }
    let request = Request::get(&path).header("x-request-tag", &path);
    let request = request.body(empty_body()).expect("the request is correct");
    let reported = outcome(&cluster.send(round % 3, request).await);
    let started = cluster.runs.of(&path).started;
    assert!(started > 0, "{reported}");
    assert!(
      !reported.starts_with("not-run"),
      "`{path}` ran {started} times: {reported}"
    );
    for upstream in &mut cluster.upstreams {
      if upstream.is_crashed() {
        upstream.restart().await.expect("its port is free");
      }
    }
    cluster.wait_serving().await;
  }
}
