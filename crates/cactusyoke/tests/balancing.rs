//! Calls that an instance without a free slot hands back.

mod common;

use {
  cactusyoke_model::empty_body,
  common::{Cluster, ClusterBuilder, outcome},
  http::Request,
  std::time::Duration,
};

const PRESET: &str = "
name: test
classes: [lookups]
routes:
  - {name: look-up, service: front, methods: [GET], path: /front, class: lookups, idempotent: true, deadline: 10s, retries: 1}
";

/// Number of nodes, and of instances with one slot each.
const NODES: u16 = 4;

/// Rounds in which each node sends one call at the same time. Some choose the same instance in most
/// rounds, since none knows of the others' calls.
const ROUNDS: usize = 12;

/// Sum of a counter over all nodes.
async fn counted(cluster: &Cluster, name: &str) -> f64 {
  let mut sum = 0.0;
  for node in 1..=NODES {
    let request = Request::get("/metrics").body(empty_body());
    let operators = cluster.addresses.listener(node, 7105);
    let request = request.expect("the request is correct");
    let received = cluster.client.exchange(operators, request).await;
    let received = received.expect("the node answers");
    let text = received.text();
    let labels = r#"{service="front",class="lookups"}"#;
    let prefix = format!("cactusyoke_{name}{labels} ");
    let value = text.lines().find_map(|line| line.strip_prefix(&prefix));
    sum += value
      .and_then(|value| value.parse::<f64>().ok())
      .unwrap_or(0.0);
  }
  sum
}

/// Longest wait in a queue before a call is refused, seconds; the default of presets.
const MAX_WAIT: f64 = 0.2;

/// Seconds that calls waited in queues, with [`MAX_WAIT`] for each refused one, and number of calls
/// handed back.
async fn run(balancing: &'static str) -> (f64, f64) {
  let cluster = ClusterBuilder::new(PRESET)
    .service("front", NODES as u8, &[])
    .capacity(1, Duration::from_millis(100))
    .balancing(balancing)
    .start()
    .await;
  let mut refused = 0.0;
  for _ in 0..ROUNDS {
    let round = tokio::join!(
      cluster.get(0, "/front/a"),
      cluster.get(1, "/front/b"),
      cluster.get(2, "/front/c"),
      cluster.get(3, "/front/d"),
    );
    for answer in [round.0, round.1, round.2, round.3] {
      if outcome(&answer) != "answered" {
        refused += 1.0;
      }
    }
  }
  let waited = counted(&cluster, "queue_wait_seconds_sum").await;
  let waited = waited + refused * MAX_WAIT;
  (waited, counted(&cluster, "handed_back_total").await)
}

/// Guards against calls that wait at one instance while another is idle, and against calls that are
/// handed back where the settings do not ask for it.
#[tokio::test(flavor = "multi_thread")]
async fn calls_go_to_idle_instances() {
  let (waited, handed_back) = run("even").await;
  assert!(handed_back >= 1.0, "{handed_back}");
  // No upstream of this cluster states the pace of its machine.
  for balancing in ["sampled", "stated"] {
    let (before, handed_back) = run(balancing).await;
    assert!(handed_back == 0.0, "{handed_back} with {balancing}");
    assert!(
      waited < before / 2.0,
      "{waited} s, {before} s with {balancing}"
    );
  }
}
