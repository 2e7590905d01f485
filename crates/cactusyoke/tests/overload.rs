//! A chain three services deep under overload.

mod common;

use {
  cactusyoke_model::empty_body,
  cactusyoke_standins::load::{AttemptOutcome, ClassLoad, LoadConfig, LoadReport, Segment, run},
  cactusyoke_standins::upstream::Client,
  common::{Cluster, ClusterBuilder, eventually, outcome},
  http::{Method, Request},
  std::{ops::Range, sync::Arc, time::Duration},
  tokio::sync::Mutex,
};

const PRESET: &str = "
name: test
classes: [orders, lookups, browsing]
retry_ratio: 100
routes:
  - {name: place, service: front, methods: [POST], path: /orders, class: orders, idempotent: false, deadline: 4s, retries: 2}
  - {name: look-up, service: front, methods: [GET], path: /lookups, class: lookups, idempotent: true, deadline: 4s, retries: 3}
  - {name: browse, service: front, methods: [GET], path: /map, class: browsing, idempotent: true, deadline: 4s, retries: 3}
  - {name: narrow, service: front, methods: [GET], path: /narrow, class: lookups, idempotent: true, deadline: 8s, retries: 1}
  - {name: middle, service: middle, methods: [GET], path: /middle, class: browsing, idempotent: true, deadline: 4s}
  - {name: back, service: back, methods: [GET], path: /back, class: browsing, idempotent: true, deadline: 4s}
";

const CLASSES: [&str; 3] = ["order", "lookup", "browse"];

/// Most runs of one request at each service, by class: the first run and its allowance of retries.
const MAX_RUNS: [u32; 3] = [3, 4, 4];

/// Held by each test, since two loads at the same time slow each other down on a busy machine.
static LOAD_LOCK: Mutex<()> = Mutex::const_new(());

async fn start_chain() -> Cluster {
  let calls = ["/orders", "/lookups", "/map"].map(|path| (path, "/middle/x"));
  ClusterBuilder::new(PRESET)
    .service("front", 3, &calls)
    .service("middle", 3, &[("/middle", "/back/x")])
    .service("back", 3, &[])
    .capacity(8, Duration::from_millis(20))
    .start()
    .await
}

/// Load of callers that retry soon, whatever the outcome.
fn load(cluster: &Cluster, rate: f64, seconds: u64) -> LoadConfig {
  let class = |name: &str, method, path: &str, weight| ClassLoad {
    weight,
    method,
    retries: 3,
    backoff: Duration::from_millis(50),
    ..ClassLoad::get(name, path)
  };
  LoadConfig {
    targets: (0..3).map(|node| cluster.callers_address(node)).collect(),
    classes: vec![
      class("order", Method::POST, "/orders/a", 1.0),
      class("lookup", Method::GET, "/lookups/a", 3.0),
      class("browse", Method::GET, "/map/a", 4.0),
    ],
    trace: vec![Segment {
      duration: Duration::from_secs(seconds),
      rate,
    }],
    seed: 5,
    max_requests: 10_000,
    progress: Arc::default(),
  }
}

/// Share of each class that was answered with success, of the requests that began in `seconds`.
fn answered_share(report: &LoadReport, seconds: Range<u64>) -> [f64; 3] {
  [0, 1, 2].map(|class| {
    let samples = report.samples.iter().filter(|sample| {
      sample.class_index == class && seconds.contains(&sample.scheduled.as_secs())
    });
    let outcomes = samples.map(|sample| sample.outcome).collect::<Vec<_>>();
    let complete = AttemptOutcome::Answered { success: true };
    let answered = outcomes.iter().filter(|outcome| **outcome == complete);
    answered.count() as f64 / outcomes.len() as f64
  })
}

/// Checks the runs of each attempt at each depth, and returns the number of repeated runs. Orders
/// are not idempotent, so the first service must not repeat them.
fn assert_allowance(cluster: &Cluster, report: &LoadReport) -> u32 {
  let mut repeated = 0;
  for attempt in &report.attempts {
    let class = CLASSES
      .iter()
      .position(|name| attempt.tag.starts_with(name))
      .expect("the tag begins with a class");
    let middle = format!("{}>/middle/x", attempt.tag);
    let back = format!("{middle}>/back/x");
    for tag in [&attempt.tag, &middle, &back] {
      let started = cluster.runs.of(tag).started;
      assert!(started <= MAX_RUNS[class], "`{tag}` ran {started} times");
      repeated += started.saturating_sub(1);
    }
    if class == 0 {
      assert!(
        cluster.runs.of(&attempt.tag).started <= 1,
        "{}",
        attempt.tag
      );
    }
  }
  repeated
}

// Guards against an overload that fails the most important requests, multiplies retries along the
// chain or outlasts its cause.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_deep_service_costs_the_least_important_requests_first() {
  let _lock = LOAD_LOCK.lock().await;
  let cluster = start_chain().await;
  let report = tokio::spawn(run(load(&cluster, 200.0, 20)));
  tokio::time::sleep(Duration::from_secs(4)).await;
  for upstream in &cluster.upstreams[6..] {
    upstream.faults().set_slowdown(10.0);
  }
  tokio::time::sleep(Duration::from_secs(8)).await;
  for upstream in &cluster.upstreams[6..] {
    upstream.faults().set_slowdown(1.0);
  }
  let report = report.await.expect("the load ends");
  let during = answered_share(&report, 5..12);
  let after = answered_share(&report, 16..20);
  let repeated = assert_allowance(&cluster, &report);
  eprintln!("answered {during:.3?}, afterwards {after:.3?}; {repeated} repeated runs");
  assert_eq!(report.wrongly_not_run(&cluster.runs), Vec::<&str>::new());
  assert!(report.classes.values().all(|class| class.corrupt == 0));
  let [order, lookup, browse] = during;
  assert!(order >= 0.95, "{during:?}");
  assert!(order >= lookup && lookup > browse, "{during:?}");
  assert!(browse < 0.5, "there was no overload: {during:?}");
  // Browsing recovers last, and how soon depends on the load of the machine.
  assert!(after[0] >= 0.95 && after[1] >= 0.95, "{after:?}");
  assert!(after[2] > 2.0 * browse, "{after:?}");
  eventually(
    "30 of the least important requests in a row are answered",
    || async {
      for number in 0..30 {
        if outcome(&cluster.get(number % 3, "/map/a").await) != "answered" {
          return false;
        }
      }
      true
    },
  )
  .await;
}

// Guards against retries that multiply along the chain while nodes at two depths are lost.
#[tokio::test(flavor = "multi_thread")]
async fn retries_of_the_whole_chain_stay_within_the_allowance() {
  let _lock = LOAD_LOCK.lock().await;
  let mut cluster = start_chain().await;
  let report = tokio::spawn(run(load(&cluster, 150.0, 12)));
  for round in 0..3 {
    tokio::time::sleep(Duration::from_secs(2)).await;
    for node in [3 + round, 6 + round] {
      cluster.nodes[node].kill();
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    for node in [3 + round, 6 + round] {
      cluster.nodes[node].restart();
    }
  }
  let report = report.await.expect("the load ends");
  let repeated = assert_allowance(&cluster, &report);
  eprintln!(
    "{repeated} repeated runs of {} attempts",
    report.attempts.len()
  );
  assert!(repeated > 0, "nothing was sent again");
  assert_eq!(report.wrongly_not_run(&cluster.runs), Vec::<&str>::new());
  assert!(report.classes.values().all(|class| class.corrupt == 0));
}

// Guards against a retry at each depth for each lost node: without a common allowance, one request
// runs again for every node that is lost below it.
#[tokio::test(flavor = "multi_thread")]
async fn one_retry_for_the_chain_is_not_one_for_each_depth() {
  let _lock = LOAD_LOCK.lock().await;
  let mut cluster = ClusterBuilder::new(PRESET)
    .service("front", 2, &[("/narrow", "/middle/x")])
    .service("middle", 2, &[("/middle", "/back/x")])
    .service("back", 6, &[])
    .capacity(60, Duration::from_millis(10))
    .start()
    .await;
  for upstream in &cluster.upstreams[4..] {
    upstream.faults().set_slowdown(50.0);
  }
  let client = Arc::new(Client::default());
  let requests = (0..40).map(|number| {
    let (client, target) = (Arc::clone(&client), cluster.callers_address(number % 2));
    let request = Request::get("/narrow/a").header("x-request-tag", format!("narrow-{number}"));
    let request = request.body(empty_body());
    let request = request.expect("the request is correct");
    tokio::spawn(async move { client.exchange(target, request).await })
  });
  let requests = requests.collect::<Vec<_>>();
  // Three of six nodes are lost while they run requests, then two of the other three.
  for lost in [4..7, 7..9] {
    eventually("the nodes that are killed run requests", || async {
      let mut running = cluster.upstreams[lost.clone()].iter();
      running.any(|upstream| upstream.in_flight() > 0)
    })
    .await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    for node in lost {
      cluster.nodes[node].kill();
    }
  }
  let mut answered = 0;
  for request in requests {
    let received = request.await.expect("the request ends");
    answered += usize::from(received.is_ok_and(|received| received.status == 200));
  }
  for number in 0..40 {
    let tag = format!("narrow-{number}");
    let middle = format!("{tag}>/middle/x");
    let back = format!("{middle}>/back/x");
    for tag in [tag, middle, back] {
      let started = cluster.runs.of(&tag).started;
      assert!(started <= 2, "`{tag}` ran {started} times");
    }
  }
  assert!(answered < 40, "no request met a lost node");
}
