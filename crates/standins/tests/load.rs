//! The load generator counts outcomes as callers see them, and its report finds false ones.

use {
  cactusyoke_standins::{
    load::{Attempt, AttemptOutcome, ClassLoad, LoadConfig, LoadReport, Segment, run},
    upstream::{Config, Upstream},
  },
  http::Method,
  std::{net::SocketAddr, sync::Arc, time::Duration},
};

fn config(target: SocketAddr, classes: Vec<ClassLoad>) -> LoadConfig {
  LoadConfig {
    targets: vec![target],
    classes,
    trace: vec![
      Segment {
        duration: Duration::from_millis(200),
        rate: 500.0,
      },
      Segment {
        duration: Duration::from_millis(100),
        rate: 1000.0,
      },
    ],
    seed: 7,
    max_requests: 150,
    progress: Arc::default(),
  }
}

async fn upstream() -> Upstream {
  Upstream::start(Config::new("plaques".parse().expect("a valid name")))
    .await
    .expect("a free port")
}

fn sent(report: &LoadReport) -> Vec<(String, u64)> {
  let classes = report.classes.iter();
  classes
    .map(|(name, counts)| (name.clone(), counts.sent))
    .collect()
}

/// Guards against a load that differs between runs with the same seed, and against requests missing
/// from the counts.
#[tokio::test]
async fn a_seed_gives_the_same_requests() {
  let upstream = upstream().await;
  let classes = vec![
    ClassLoad {
      weight: 3.0,
      ..ClassLoad::get("map", "/map")
    },
    ClassLoad {
      method: Method::POST,
      body_length: 20_000,
      keyed: true,
      ..ClassLoad::get("pledge", "/pledge")
    },
  ];
  let first = run(config(upstream.address(), classes.clone())).await;
  let second = run(config(upstream.address(), classes)).await;
  assert_eq!(sent(&first), sent(&second));
  let total = first.classes.values().map(|counts| counts.sent);
  assert_eq!(total.sum::<u64>(), 150);
  for counts in first.classes.values() {
    assert!(counts.sent > 0);
    assert_eq!(counts.answered, counts.sent);
    assert_eq!(counts.latency.len(), counts.sent);
  }
}

/// Guards against failures counted as answered, and against retries beyond the limit of the class.
#[tokio::test]
async fn failures_are_counted_and_retried() {
  let upstream = upstream().await;
  upstream.faults().set_fail_fast(true);
  let cut = ClassLoad {
    retries: 2,
    backoff: Duration::from_millis(1),
    ..ClassLoad::get("cut", "/cut/5000")
  };
  let report = run(config(
    upstream.address(),
    vec![ClassLoad::get("fail", "/"), cut.clone()],
  ))
  .await;
  for counts in report.classes.values() {
    assert_eq!(counts.failed, counts.sent);
    assert_eq!(counts.answered, 0);
  }
  upstream.faults().set_fail_fast(false);
  let report = run(config(upstream.address(), vec![cut])).await;
  let counts = &report.classes["cut"];
  assert_eq!(counts.connection_failed, counts.sent);
  assert_eq!(counts.attempts, 3 * counts.sent);
}

/// Guards against invariant checks that never fail: falsifies one outcome, then runs one request
/// twice, and expects the checks to report both.
#[tokio::test]
async fn false_not_run_and_repeated_runs_are_found() {
  let upstream = upstream().await;
  let pledge = ClassLoad::get("pledge", "/");
  let mut load = config(upstream.address(), vec![pledge]);
  load.max_requests = 2;
  let mut report = run(load).await;
  assert!(report.wrongly_not_run(upstream.runs()).is_empty());
  assert!(report.run_twice("pledge", upstream.runs()).is_empty());
  report.attempts[0].outcome = AttemptOutcome::NotRun;
  let falsified = report.attempts[0].tag.clone();
  assert_eq!(
    report.wrongly_not_run(upstream.runs()),
    [falsified.as_str()]
  );
  // A second attempt of the same request that runs as well.
  let first = falsified.rsplit_once('.').expect("a tag").0.to_owned();
  let runs = upstream.runs();
  let second_tag = format!("{first}.1");
  let client = cactusyoke_standins::upstream::Client::default();
  let request = http::Request::get("/")
    .header("x-request-tag", &second_tag)
    .body(cactusyoke_model::empty_body())
    .expect("valid");
  client
    .exchange(upstream.address(), request)
    .await
    .expect("an answer");
  report.attempts.push(Attempt {
    tag: second_tag,
    outcome: AttemptOutcome::Answered { success: true },
  });
  assert_eq!(report.run_twice("pledge", runs), [first]);
  assert!(report.run_twice("map", runs).is_empty());
}
