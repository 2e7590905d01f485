//! Outcomes reported to callers stay true while the upstream crashes, goes silent, slows down and
//! restarts.

mod support;

use {
  cactusyoke_callers::Limits,
  cactusyoke_model::{Connections, Slots},
  cactusyoke_standins::{
    load::{AttemptOutcome, ClassLoad, LoadConfig, LoadReport, Segment, run},
    upstream::{Config, RunLog, ServiceTime, Upstream},
  },
  cactusyoke_upstreams::{
    Phase, UpstreamConfig,
    announce::{AnnounceConfig, start},
  },
  http::Method,
  std::{sync::Arc, time::Duration},
  support::{Forward, Node, TEST_TIMEOUT, service},
  tokio::{
    net::TcpListener,
    time::{sleep, timeout},
  },
  tokio_util::sync::CancellationToken,
  yare::parameterized,
};

/// Guards against requests reported as not run although they ran, truncated answers that look
/// complete, and attempts that run their request twice.
#[parameterized(seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 })]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn outcomes_hold_through_faults(seed: u64) {
  let shutdown = CancellationToken::new();
  let _stop = shutdown.clone().drop_guard();
  let announcements = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
  let announce_address = announcements.local_addr().expect("a bound address");
  let view_handle = start(announcements, AnnounceConfig::default(), shutdown)
    .await
    .expect("the listener starts");
  let mut upstream = Upstream::start(Config {
    slots: Slots(8),
    connections: Connections(40),
    service_time: ServiceTime::exponential(Duration::from_millis(5), seed),
    announce: Some(announce_address),
    renewal_interval: Duration::from_millis(50),
    ..Config::new(service())
  })
  .await
  .expect("the stand-in starts");
  let mut changes = view_handle.watch();
  let serving = changes.wait_for(|view| view.phase == Phase::Serving);
  drop(
    timeout(TEST_TIMEOUT, serving)
      .await
      .expect("the upstream serves"),
  );
  let config = UpstreamConfig {
    min_silence: Duration::from_millis(100),
    ..UpstreamConfig::new(view_handle)
  };
  let node = Node::start(
    Forward(cactusyoke_upstreams::Upstream::new(config)),
    Limits::default(),
  )
  .await;
  let class = |name: &str, path: &str, method: Method, body: u64| ClassLoad {
    method,
    body_length: body,
    deadline: Duration::from_millis(500),
    ..ClassLoad::get(name, path)
  };
  let load = LoadConfig {
    targets: vec![node.address],
    classes: vec![
      class("order", "/order", Method::POST, 2000),
      class("artwork", "/echo", Method::POST, 20_000),
      class("stock", "/size/20000", Method::GET, 0),
    ],
    trace: vec![Segment {
      duration: Duration::from_millis(1500),
      rate: 200.0,
    }],
    seed,
    max_requests: 300,
    progress: Arc::default(),
  };
  let running = tokio::spawn(run(load.clone()));
  for _ in 0..3 {
    sleep(Duration::from_millis(100)).await;
    upstream.faults().silence_connections();
    sleep(Duration::from_millis(100)).await;
    upstream.faults().set_slowdown(20.0);
    sleep(Duration::from_millis(50)).await;
    upstream.faults().set_slowdown(1.0);
    upstream.crash().await;
    sleep(Duration::from_millis(50)).await;
    upstream.restart().await.expect("the port is free");
  }
  let report = timeout(TEST_TIMEOUT, running)
    .await
    .expect("every request ends")
    .expect("no panic");
  check_report(&report, upstream.runs());
  upstream.crash().await;
  let refused = run(LoadConfig {
    seed: seed + 1000,
    max_requests: 10,
    progress: Arc::default(),
    ..load
  })
  .await;
  let not_run = refused.classes.values().map(|counts| counts.not_run);
  assert!(not_run.sum::<u64>() > 0);
  upstream.restart().await.expect("the port is free");
  let recovered = async {
    loop {
      let answer = node.get("/stock").await;
      if answer.is_ok_and(|answer| answer.header("cactusyoke-outcome") == "answered") {
        return;
      }
      sleep(Duration::from_millis(10)).await;
    }
  };
  timeout(TEST_TIMEOUT, recovered)
    .await
    .expect("the upstream is used again");
}

fn check_report(report: &LoadReport, runs: &RunLog) {
  assert_eq!(report.wrongly_not_run(runs), Vec::<&str>::new());
  for class in ["order", "artwork", "stock"] {
    assert_eq!(report.run_twice(class, runs), Vec::<String>::new());
    assert_eq!(report.classes[class].corrupt, 0);
  }
  for attempt in &report.attempts {
    if attempt.outcome == (AttemptOutcome::Answered { success: true }) {
      assert_eq!(runs.of(&attempt.tag).started, 1, "{}", attempt.tag);
    }
  }
}
