//! Stops of a node within its time limit: real node processes with stand-ins of the platform's store
//! and of upstreams.

mod common;
mod platform_support;

use {
  cactusyoke_platform::document,
  cactusyoke_standins::{platform::Outage, upstream::ClientError},
  common::eventually,
  futures_util::future::join_all,
  platform_support::{DOCUMENT, Site},
  rustix::process::Signal,
  std::time::{Duration, Instant},
  yare::parameterized,
};

/// Time after the signal to stop at which the platform kills a node of [`Site`].
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(6);

/// Time before the limit by which a node has ended: a slow machine needs it for what it does late.
const MARGIN: Duration = Duration::from_millis(350);

/// Longest time for which a caller waits.
const DEADLINE: Duration = Duration::from_secs(50);

/// Starts two nodes whose upstreams run each request for `work`, without a limit by the route.
async fn start(work: Duration) -> Site {
  let site = Site::start(2, Duration::ZERO).await;
  let document = DOCUMENT
    .replace("\"timeout_s\": 2", "\"timeout_s\": 60")
    .replace("\"version\": 7", "\"version\": 8");
  site.store.write(document::KEY, document);
  for upstream in &site.upstreams {
    upstream.set_service_time(work);
  }
  for node in &site.nodes {
    eventually("the new time limit is in force", || async {
      node.log().contains("revision=8")
    })
    .await;
  }
  site
}

/// Guards against a node that waits for the store after it has ended its last calls, until the
/// platform kills it.
#[parameterized(
  silent_store = { false, Outage::Hang },
  refusing_store = { true, Outage::Refuse },
  silent_store_and_a_call_without_end = { true, Outage::Hang },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_stop_without_the_store_ends_before_the_limit(endless: bool, outage: Outage) {
  let mut site = start(Duration::from_mins(1)).await;
  let calls = usize::from(endless) * 5;
  let in_flight = join_all((0..calls).map(|_| site.charge_within(0, DEADLINE)));
  let stop = async {
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.entries[0].set_outage(outage);
    let started = Instant::now();
    site.nodes[0].signal(Signal::TERM);
    started
  };
  let (answers, started) = tokio::join!(in_flight, stop);
  for answer in answers {
    assert_eq!(
      answer.expect("an answer").status,
      502,
      "the outcome is unknown"
    );
  }
  let status = site.nodes[0].wait(SHUTDOWN_LIMIT.saturating_sub(started.elapsed()));
  let time = started.elapsed();
  assert!(status.is_some(), "the node has not ended after {time:?}");
  assert!(time + MARGIN <= SHUTDOWN_LIMIT, "{time:?}");
}

/// Guards against a stop that outlasts its limit, or breaks requests off, because many connections
/// are in use and end in turn.
#[tokio::test(flavor = "multi_thread")]
async fn a_hundred_connections_that_end_in_turn_do_not_outlast_the_limit() {
  let mut site = start(Duration::from_millis(200)).await;
  let before = site.request_counts().iter().sum::<usize>();
  let site_ref = &site;
  // Each caller sends one request after the other until its connection is closed.
  let caller = |number: u64| async move {
    let (mut answered, mut not_run) = (0, 0);
    tokio::time::sleep(Duration::from_millis(number * 20)).await;
    let end = Instant::now() + SHUTDOWN_LIMIT;
    while Instant::now() < end {
      match site_ref.charge_within(0, DEADLINE).await {
        Ok(answer) if answer.status == 200 => answered += 1,
        Ok(answer) if answer.status == 503 => not_run += 1,
        Ok(answer) => panic!("status {}", answer.status),
        // The connection was closed before its request was read.
        Err(ClientError::NoHead | ClientError::Connect) => break,
        Err(ClientError::Truncated) => panic!("a truncated answer"),
      }
    }
    (answered, not_run)
  };
  let callers = join_all((0..100).map(caller));
  let stop = async {
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let started = Instant::now();
    site_ref.nodes[0].signal(Signal::TERM);
    started
  };
  let (outcomes, started) = tokio::join!(callers, stop);
  let status = site.nodes[0].wait(SHUTDOWN_LIMIT.saturating_sub(started.elapsed()));
  assert!(
    status.is_some_and(|status| status.success()),
    "{status:?} after {:?}",
    started.elapsed()
  );
  let answered = outcomes.iter().map(|(answered, _)| answered).sum::<usize>();
  let runs = site.request_counts().iter().sum::<usize>() - before;
  assert!(answered >= 100, "{answered}");
  assert_eq!(runs, answered, "each run is answered");
}
