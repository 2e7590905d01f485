//! Requests with the platform's interface: real node processes with stand-ins of the platform's
//! store and of upstreams.

mod common;
mod platform_support;

use {
  cactusyoke_platform::{document, header_names},
  cactusyoke_standins::{platform::Outage, platform_upstream::AnswerMode},
  common::eventually,
  platform_support::{CHANGE_LIMIT, DOCUMENT, Site},
  rustix::process::Signal,
  std::time::{Duration, Instant},
  yare::parameterized,
};

/// Running time of requests on upstreams that answer at once.
const NO_WORK: Duration = Duration::ZERO;

/// Time after the signal to stop within which a node of [`Site`] has to end.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(6);

/// Guards against passing on headers that the client must not set, or leaving out headers that the
/// upstream needs.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_reaches_an_upstream_and_its_answer_comes_back_unchanged() {
  let site = Site::start(1, NO_WORK).await;
  let before = site.request_counts()[0];
  let got = site.charge(0).await.expect("an answer");
  assert_eq!(got.status, 200);
  assert_eq!(got.text(), "the upstream's bytes");
  let names = header_names();
  let mark = names.success_mark.as_ref().expect("the platform has one");
  assert_eq!(got.header(mark.as_str()), "3e1b.07");
  let requests = site.upstreams[0].requests();
  assert_eq!(requests.len(), before + 1);
  let headers = &requests[before].headers;
  let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
  assert_eq!(text(&names.origin), Some("plaques"));
  assert_eq!(text(&names.instance), Some("i-1"));
  let left = text(&names.deadline).and_then(|left| left.parse::<u64>().ok());
  assert!(
    left.is_some_and(|left| (1000..=1500).contains(&left)),
    "{left:?}"
  );
}

/// Guards against a node that stops serving, or misses a change, because the store is unavailable.
#[parameterized(refuses = { Outage::Refuse }, hangs = { Outage::Hang })]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn requests_are_served_while_the_store_is_unavailable(outage: Outage) {
  let site = Site::start(2, NO_WORK).await;
  site.store.faults().set_outage(outage);
  let end = Instant::now() + Duration::from_secs(6);
  while Instant::now() < end {
    for node in 0..2 {
      assert_eq!(site.get(node).await.expect("an answer").status, 200);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
  }
  site.rename_route(9);
  site.store.faults().set_outage(Outage::None);
  for node in 0..2 {
    eventually("the change is in force", || async {
      site.is_renamed(node).await
    })
    .await;
  }
}

/// Guards against calls to the store by each node for each change, and against nodes that miss a
/// change because the node that they follow is paused.
#[tokio::test(flavor = "multi_thread")]
async fn few_nodes_watch_the_store_and_all_learn_of_changes() {
  let site = Site::start(8, NO_WORK).await;
  // Two in each of the two data centres.
  eventually("few nodes watch", || async { site.watching().len() == 4 }).await;
  let paused = site.watching()[0];
  site.nodes[paused].signal(Signal::STOP);
  let changed = Instant::now();
  site.rename_route(8);
  for node in (0..8).filter(|node| *node != paused) {
    eventually("the change is in force", || async {
      site.is_renamed(node).await
    })
    .await;
  }
  let time = changed.elapsed();
  site.nodes[paused].signal(Signal::CONT);
  assert!(time < CHANGE_LIMIT, "{time:?}");
}

/// Guards against an invalid or older document that replaces a valid one.
#[tokio::test(flavor = "multi_thread")]
async fn an_unusable_document_changes_nothing() {
  let site = Site::start(1, NO_WORK).await;
  let renamed = DOCUMENT.replace("/read/", "/renamed/");
  let cut = &renamed.replace("\"version\": 7", "\"version\": 8")[..300];
  let unknown = renamed
    .replace("\"version\": 7", "\"version\": 9")
    .replace("\"service\": \"plaques\"", "\"service\": \"nobody\"");
  let older = renamed.replace("\"version\": 7", "\"version\": 6");
  for document in [cut, unknown.as_str(), older.as_str()] {
    site.store.write(document::KEY, document.to_owned());
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(site.get(0).await.expect("an answer").status, 200);
  }
  assert!(site.nodes[0].log().contains("event=document_refused"));
}

/// Guards against limits of the operator's document that are not enforced, or only after a restart.
#[tokio::test(flavor = "multi_thread")]
async fn limits_of_the_document_hold_without_a_restart() {
  let site = Site::start(1, NO_WORK).await;
  let charge = || site.charge_with(0, "twenty bytes of body");
  assert_eq!(charge().await.expect("an answer").status, 200);
  let document = |version: u32, most: u32| {
    let document = DOCUMENT.replace("\"version\": 7", &format!("\"version\": {version}"));
    let (before, after) = document
      .split_once("\"max_body_bytes\": ")
      .expect("a limit");
    let after = after.trim_start_matches(|digit: char| digit.is_ascii_digit());
    format!("{before}\"max_body_bytes\": {most}{after}")
  };
  for (version, most, expected) in [(8, 10, 413), (9, 20, 200)] {
    site.store.write(document::KEY, document(version, most));
    eventually("the limit is in force", || async {
      charge().await.is_ok_and(|got| got.status == expected)
    })
    .await;
  }
}

/// Guards against sending requests to an upstream after its drain was acknowledged, from its own
/// node or through others.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_upstream_gets_nothing_after_the_acknowledgement() {
  let site = Site::start(2, NO_WORK).await;
  assert!(site.upstreams[0].drain().await, "acknowledged");
  let before = site.request_counts();
  for _ in 0..20 {
    for node in 0..2 {
      assert_eq!(site.get(node).await.expect("an answer").status, 200);
    }
  }
  let after = site.request_counts();
  assert_eq!(after[0], before[0]);
  assert_eq!(after[1], before[1] + 40);
  assert!(site.upstreams[0].leave().await, "acknowledged");
}

/// Guards against sending requests to a draining upstream because its node restarted and lost that
/// state.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_node_sends_nothing_to_a_draining_upstream() {
  let mut site = Site::start(2, NO_WORK).await;
  assert!(site.upstreams[0].drain().await, "acknowledged");
  let before = site.request_counts()[0];
  site.nodes[0].restart();
  eventually("the node serves", || async { site.ready(0).await }).await;
  for _ in 0..20 {
    assert_eq!(site.get(1).await.expect("an answer").status, 200);
    tokio::time::sleep(Duration::from_millis(50)).await;
  }
  assert_eq!(site.request_counts()[0], before);
}

/// Guards against a stop that cuts off requests, or that the platform's readiness check does not
/// see at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_node_finishes_what_it_took() {
  let mut site = Site::start(2, Duration::from_millis(300)).await;
  let in_flight = (0..5).map(|_| site.get(0)).collect::<Vec<_>>();
  let requests = futures_util::future::join_all(in_flight);
  let stop = async {
    tokio::time::sleep(Duration::from_millis(100)).await;
    site.nodes[0].signal(Signal::TERM);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!site.ready(0).await, "the platform is told at once");
    assert_eq!(site.get(0).await.expect("served meanwhile").status, 200);
  };
  let (answers, ()) = tokio::join!(requests, stop);
  for answer in answers {
    assert_eq!(answer.expect("a whole answer").status, 200);
  }
  let status = site.nodes[0].wait(Duration::from_secs(6));
  assert!(status.is_some_and(|status| status.success()), "{status:?}");
  assert_eq!(site.get(1).await.expect("an answer").status, 200);
}

/// Guards against a node that waits for a call without end until the platform kills it, so that the
/// caller gets no answer and the node's entry stays in the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_without_end_does_not_outlast_the_shutdown_limit() {
  let mut site = Site::start(2, NO_WORK).await;
  let document = DOCUMENT
    .replace("\"timeout_s\": 2", "\"timeout_s\": 60")
    .replace("\"version\": 7", "\"version\": 8");
  site.store.write(document::KEY, document);
  for upstream in &site.upstreams {
    upstream.set_service_time(Duration::from_mins(1));
  }
  eventually("the new time limit is in force", || async {
    let log = site.nodes[0].log();
    log.contains("revision=8")
  })
  .await;
  let in_flight = site.get_within(0, Duration::from_secs(50));
  let stop = async {
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.nodes[0].signal(Signal::TERM);
  };
  let started = Instant::now();
  let (answer, ()) = tokio::join!(in_flight, stop);
  assert_eq!(answer.expect("an answer").status, 502);
  assert!(started.elapsed() < SHUTDOWN_LIMIT);
  let left = SHUTDOWN_LIMIT.saturating_sub(started.elapsed());
  assert!(site.nodes[0].wait(left).is_some(), "the node has ended");
}

/// Guards against a request that is taken late in the grace time of a stop and cut off at its end,
/// although it may not be repeated.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_late_in_the_grace_time_is_answered_or_truly_not_run() {
  let site = Site::start(2, NO_WORK).await;
  let document = DOCUMENT
    .replace("\"timeout_s\": 2", "\"timeout_s\": 60")
    .replace("\"version\": 7", "\"version\": 8");
  site.store.write(document::KEY, document);
  for upstream in &site.upstreams {
    upstream.set_service_time(Duration::from_millis(3200));
  }
  eventually("the new time limit is in force", || async {
    let log = site.nodes[0].log();
    log.contains("revision=8")
  })
  .await;
  let deadline = Duration::from_secs(20);
  // Keep the upstream beside the node busy.
  let in_flight = (0..6).map(|_| site.get_within(0, deadline));
  let in_flight = futures_util::future::join_all(in_flight);
  let late = async {
    tokio::time::sleep(Duration::from_millis(200)).await;
    site.nodes[0].signal(Signal::TERM);
    tokio::time::sleep(Duration::from_millis(2600)).await;
    let before = site.request_counts().iter().sum::<usize>();
    let answer = site.charge_within(0, deadline).await;
    (answer, site.request_counts().iter().sum::<usize>() - before)
  };
  let (answers, (answer, runs)) = tokio::join!(in_flight, late);
  for answer in answers {
    assert_eq!(answer.expect("a whole answer").status, 200);
  }
  let status = answer.map(|answer| answer.status.as_u16());
  assert!(
    matches!((&status, runs), (Ok(200), 1) | (Ok(503) | Err(_), 0)),
    "{status:?} after {runs} runs"
  );
}

/// Guards against a node that ends at SIGHUP, or that adopts an invalid settings file.
#[tokio::test(flavor = "multi_thread")]
async fn a_hang_up_cuts_off_no_request() {
  let site = &Site::start(1, Duration::from_millis(300)).await;
  let node = &site.nodes[0];
  let hang_up = |event: &'static str| async move {
    let signal = async {
      tokio::time::sleep(Duration::from_millis(100)).await;
      node.signal(Signal::HUP);
    };
    let (got, ()) = tokio::join!(site.get(0), signal);
    assert_eq!(got.expect("a whole answer").status, 200);
    eventually(event, || async { node.log().contains(event) }).await;
  };
  hang_up("event=settings_unchanged").await;
  std::fs::write(node.settings(), "node: nowhere").expect("the settings can be written");
  hang_up("event=settings_refused").await;
}

/// Guards against passing on an answer with the id of another request or without the upstream's
/// mark, against running a non-idempotent request twice, and against claiming that a request was
/// not run when the upstream has not said so.
#[parameterized(
  wrong_id = { AnswerMode::WrongId, 502, 0 },
  unmarked = { AnswerMode::Unmarked, 502, 1 },
  unavailable_without_refused_header = { AnswerMode::UnavailableWithoutRefusedHeader, 502, 1 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_charge_with_an_invalid_answer_is_unknown_and_not_retried(
  answering: AnswerMode,
  status: u16,
  runs: usize,
) {
  let site = Site::start(2, NO_WORK).await;
  for upstream in &site.upstreams {
    upstream.set_answer_mode(answering);
  }
  let before = site.request_counts().iter().sum::<usize>();
  let got = site.charge(0).await.expect("an answer");
  assert_eq!(got.status, status);
  assert_eq!(site.request_counts().iter().sum::<usize>(), before + runs);
}

/// Guards against passing on a refusal although another upstream has free slots, and against
/// retries without end.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_charge_goes_to_another_upstream() {
  let site = Site::start(2, NO_WORK).await;
  site.upstreams[0].set_answer_mode(AnswerMode::Refusal);
  assert_eq!(site.charge(0).await.expect("an answer").status, 200);
  site.upstreams[1].set_answer_mode(AnswerMode::Refusal);
  let before = site.request_counts().iter().sum::<usize>();
  let got = site.charge(0).await.expect("an answer");
  assert_eq!(got.status, 503);
  let sent = site.request_counts().iter().sum::<usize>() - before;
  assert!((2..=6).contains(&sent), "{sent}");
}
