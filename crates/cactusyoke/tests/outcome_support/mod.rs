//! Fixture for tests of outcomes: three instances of one service, and load on them.

use {
  super::common::{Cluster, ClusterBuilder},
  cactusyoke_standins::load::{ClassLoad, LoadConfig, Segment},
  std::{sync::Arc, time::Duration},
};

const PRESET: &str = "
name: test
classes: [orders, lookups]
routes:
  - {name: place, service: front, methods: [POST], path: /orders, class: orders, idempotent: false, deadline: 4s, retries: 2}
  - {name: look-up, service: front, methods: [GET, PUT], path: /front, class: lookups, idempotent: true, deadline: 8s, retries: 3}
  - {name: cut, service: front, methods: [GET], path: /cut, class: lookups, idempotent: true, deadline: 8s, retries: 3}
  - {name: echo, service: front, methods: [POST], path: /echo, class: lookups, idempotent: false, deadline: 20s}
";

/// Three instances whose requests take `time`.
pub async fn cluster(time: Duration) -> Cluster {
  ClusterBuilder::new(PRESET)
    .service("front", 3, &[])
    .capacity(60, time)
    .start()
    .await
}

/// Load of `rate` requests a second on all nodes.
pub fn load(cluster: &Cluster, classes: Vec<ClassLoad>, rate: f64, seconds: u64) -> LoadConfig {
  LoadConfig {
    targets: (0..3).map(|node| cluster.callers_address(node)).collect(),
    classes,
    trace: vec![Segment {
      duration: Duration::from_secs(seconds),
      rate,
    }],
    seed: 11,
    max_requests: 5000,
    progress: Arc::default(),
  }
}
