//! Metrics of a running node process.

mod common;

use {
  cactusyoke_model::empty_body,
  common::{ClusterBuilder, outcome},
  http::Request,
};

const PRESET: &str = "
name: test
classes: [lookups]
routes:
  - {name: look-up, service: front, methods: [GET], path: /front, class: lookups, idempotent: true, deadline: 10s, retries: 1}
";

// Guards against counters that the request path does not increment.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_counted_by_service_and_class() {
  let cluster = ClusterBuilder::new(PRESET)
    .service("front", 1, &[])
    .start()
    .await;
  for _ in 0..3 {
    assert_eq!(outcome(&cluster.get(0, "/front/a").await), "answered");
  }
  let request = Request::get("/metrics")
    .body(empty_body())
    .expect("the request is correct");
  let operators = cluster.addresses.listener(1_u16, 7105);
  let received = cluster.client.exchange(operators, request).await;
  let received = received.expect("the node answers");
  let labels = r#"{service="front",class="lookups"}"#;
  for name in ["sent_total", "answered_total", "queue_wait_seconds_count"] {
    let line = format!("cactusyoke_{name}{labels} 3\n");
    assert!(
      received.text().contains(&line),
      "{line} is missing:\n{}",
      received.text()
    );
  }
  assert!(
    received.text().contains("cactusyoke_config_revision 2\n"),
    "{}",
    received.text()
  );
}
