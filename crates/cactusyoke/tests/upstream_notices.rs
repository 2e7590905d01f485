//! What upstreams say about themselves in their answers: the rate of requests that they take, and
//! that they are about to stop. Real node processes with stand-ins of the platform's store and of
//! upstreams.

mod common;
mod platform_support;

use {
  cactusyoke_platform::header_names,
  cactusyoke_standins::{
    platform::Outage, platform_upstream::AnswerMode, upstream::ReceivedResponse,
  },
  platform_support::Site,
  std::{
    sync::Arc,
    time::{Duration, Instant},
  },
  tokio::time::sleep,
};

const WORK: Duration = Duration::from_millis(5);

/// Time between two requests of the load.
const GAP: Duration = Duration::from_millis(10);

/// Rate that upstreams state, and most requests in 4 s by the platform's rule: one and a half times
/// the rate, and five.
const RATE: &str = "6.5";
const MOST: usize = 44;

/// Time after which an upstream that is about to stop must get nothing more.
const DRAIN: Duration = Duration::from_secs(2);

/// Sends requests through the first node for `time` and returns their responses.
async fn load(site: &Arc<Site>, time: Duration) -> Vec<ReceivedResponse> {
  let end = Instant::now() + time;
  let mut sending = Vec::new();
  while Instant::now() < end {
    let site = Arc::clone(site);
    sending.push(tokio::spawn(async move { site.get(0).await }));
    sleep(GAP).await;
  }
  let mut responses = Vec::new();
  for sent in sending {
    let got = sent.await.expect("no panic");
    responses.push(got.expect("an answer"));
  }
  responses
}

fn served(responses: &[ReceivedResponse]) -> usize {
  responses.iter().filter(|got| got.status == 200).count()
}

/// Guards against an upstream in need that gets far more than the rate that it states, and against
/// refusing what another upstream of the service could run.
#[tokio::test(flavor = "multi_thread")]
async fn a_stated_rate_is_kept_and_another_upstream_gets_the_rest() {
  let site = Arc::new(Site::start(2, WORK).await);
  site.upstreams[0].set_rate_limit(Some(RATE));
  load(&site, Duration::from_secs(1)).await;
  let before = site.request_counts()[0];
  let responses = load(&site, Duration::from_secs(4)).await;
  let sent = site.request_counts()[0] - before;
  assert!(sent <= MOST, "{sent} requests");
  assert_eq!(
    served(&responses),
    responses.len(),
    "{}",
    site.nodes[0].log()
  );
  // It is used again once its answers state no rate.
  site.upstreams[0].set_rate_limit(None);
  load(&site, Duration::from_secs(1)).await;
  let before = site.request_counts()[0];
  load(&site, Duration::from_secs(2)).await;
  let sent = site.request_counts()[0] - before;
  assert!(sent > 60, "{sent} requests");
}

/// Guards against requests that find no room and are held until their deadline, or are reported as
/// not run although they ran.
#[tokio::test(flavor = "multi_thread")]
async fn what_no_upstream_takes_is_refused_in_time() {
  let site = Arc::new(Site::start(2, WORK).await);
  for upstream in &site.upstreams {
    upstream.set_rate_limit(Some(RATE));
  }
  load(&site, Duration::from_secs(1)).await;
  let before = site.request_counts();
  let started = Instant::now();
  let responses = load(&site, Duration::from_secs(4)).await;
  // No response takes as long as the client would wait, 1.5 s.
  let time = started.elapsed();
  assert!(time < Duration::from_secs(5), "{time:?}");
  let after = site.request_counts();
  for (before, after) in before.iter().zip(&after) {
    assert!(after - before <= MOST, "{} requests", after - before);
  }
  let ran = after.iter().sum::<usize>() - before.iter().sum::<usize>();
  assert_eq!(served(&responses), ran);
  let refused = responses.iter().filter(|got| got.status != 200);
  for got in refused {
    assert!(got.status == 429 || got.status == 503, "{}", got.status);
    let after = got.header("retry-after").parse::<f64>();
    assert!(after.is_ok_and(|after| after > 0.0));
  }
}

/// Guards against a refusal of the upstream itself that states a rate which is then not kept.
#[tokio::test(flavor = "multi_thread")]
async fn a_rate_stated_in_a_refusal_is_kept() {
  let site = Arc::new(Site::start(1, WORK).await);
  site.upstreams[0].set_answer_mode(AnswerMode::Refusal);
  site.upstreams[0].set_rate_limit(Some(RATE));
  load(&site, Duration::from_secs(1)).await;
  let before = site.request_counts()[0];
  load(&site, Duration::from_secs(4)).await;
  let sent = site.request_counts()[0] - before;
  assert!(sent <= MOST, "{sent} requests");
}

/// Guards against an unreadable rate that lifts the one in force, or that fills the log.
#[tokio::test(flavor = "multi_thread")]
async fn an_unreadable_rate_changes_nothing() {
  let site = Arc::new(Site::start(1, WORK).await);
  site.upstreams[0].set_rate_limit(Some(RATE));
  load(&site, Duration::from_secs(1)).await;
  site.upstreams[0].set_rate_limit(Some("many"));
  let before = site.request_counts()[0];
  load(&site, Duration::from_secs(4)).await;
  let sent = site.request_counts()[0] - before;
  assert!(sent > 10 && sent <= MOST, "{sent} requests");
  let log = site.nodes[0].log();
  let ignored = log
    .lines()
    .filter(|line| line.contains("rate_limit_ignored"));
  assert_eq!(ignored.count(), 1);
}

/// Guards against sending requests to an upstream that says in its answers that it is about to stop,
/// while the store cannot be reached and no heartbeat says so.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_whose_answers_say_that_it_leaves_gets_nothing_more() {
  let site = Arc::new(Site::start(2, WORK).await);
  site.store.faults().set_outage(Outage::Refuse);
  site.upstreams[0].set_leaving(true);
  let got = site.get(0).await.expect("an answer");
  assert_eq!(got.header(header_names().leaving.as_str()), "1");
  let responses = load(&site, DRAIN).await;
  assert_eq!(served(&responses), responses.len());
  let before = site.request_counts()[0];
  let responses = load(&site, Duration::from_secs(2)).await;
  assert_eq!(site.request_counts()[0], before);
  assert_eq!(served(&responses), responses.len());
}
