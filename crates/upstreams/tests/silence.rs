//! Silence of connections to the upstream: when it ends a call, and when it does not.

mod support;

use {
  cactusyoke_model::{CallFailure, Slots, UnknownReason, full_body},
  cactusyoke_upstreams::{Hint, SilenceDetector, Upstream, UpstreamConfig, UpstreamView},
  http::{Method, StatusCode},
  std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
  },
  support::{
    LostConnections, OK, TEST_TIMEOUT, answer_all, call, client_config, raw_upstream, read_head,
    run, serving_view,
  },
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    sync::Notify,
    time::{sleep, timeout},
  },
  yare::parameterized,
};

/// Client of an upstream whose view is changed first. Waits above 50 ms may count as silence.
fn client(
  address: SocketAddr,
  change: impl FnOnce(&mut UpstreamView),
) -> (Arc<Upstream>, LostConnections) {
  let view_handle = serving_view(address, 4);
  let mut view = UpstreamView::clone(&view_handle.load());
  change(&mut view);
  view_handle.publish(view);
  let (config, lost_connections) = client_config(view_handle);
  let upstream = Upstream::new(UpstreamConfig {
    min_silence: Duration::from_millis(50),
    ..config
  });
  (Arc::new(upstream), lost_connections)
}

fn set_two_slots(view: &mut UpstreamView) {
  let announcement = view.announcement.as_mut();
  announcement.expect("an announced upstream").slots = Slots(2);
}

/// Checks that a call ends whose connection has gone silent, while the upstream answers on others.
async fn check_silent_call_ends(change: impl FnOnce(&mut UpstreamView)) {
  let received = Arc::new(Notify::new());
  let notify = Arc::clone(&received);
  let address = raw_upstream(move |number, mut stream| {
    let notify = Arc::clone(&notify);
    async move {
      if number == 0 {
        read_head(&mut stream).await;
        notify.notify_one();
        read_head(&mut stream).await;
        return;
      }
      answer_all(&mut stream, Duration::ZERO).await;
    }
  })
  .await;
  let (upstream, lost_connections) = client(address, change);
  let silent = Arc::clone(&upstream);
  let silent = tokio::spawn(async move { run(&silent, "/").await });
  received.notified().await;
  let others = async {
    while !silent.is_finished() {
      run(&upstream, "/").await.expect("an answer");
      sleep(Duration::from_millis(1)).await;
    }
  };
  timeout(TEST_TIMEOUT, others)
    .await
    .expect("the silent call ends");
  let failed = silent.await.expect("no panic").expect_err("no answer");
  assert_eq!(failed, CallFailure::unknown(UnknownReason::Connection));
  // A connection closed for silence is not reported as lost.
  assert!(lost_connections.lock().expect("not poisoned").is_empty());
}

/// Guards against calls that wait for a connection that has gone silent, until their deadline,
/// while the upstream answers on other connections.
#[tokio::test]
async fn silent_connection_is_taken_out_of_use() {
  check_silent_call_ends(|_view| {}).await;
}

/// Guards against keeping a silent connection although the upstream states that no call is in
/// flight.
#[tokio::test]
async fn a_call_that_the_upstream_does_not_know_is_given_up() {
  check_silent_call_ends(|view| {
    set_two_slots(view);
    view.hints.load = Some(Hint {
      value: 0,
      received: Instant::now() + TEST_TIMEOUT,
    });
  })
  .await;
}

/// Guards against breaking off a call that takes far longer than others of its route, before or
/// within its answer, because of its upstream's silence.
#[parameterized(before_the_answer = { b"" }, within_the_answer = { b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\no" })]
#[test_macro(tokio::test)]
async fn a_long_call_is_not_taken_for_a_silent_connection(begin: &'static [u8]) {
  let address = raw_upstream(move |_number, mut stream| async move {
    loop {
      let head = read_head(&mut stream).await;
      if head.is_empty() {
        return;
      }
      let mut rest = OK;
      if head.starts_with("GET /long") {
        stream.write_all(begin).await.expect("an open connection");
        sleep(Duration::from_millis(800)).await;
        rest = &OK[begin.len()..];
      }
      stream.write_all(rest).await.expect("an open connection");
    }
  })
  .await;
  let (upstream, _lost_connections) = client(address, set_two_slots);
  let long = Arc::clone(&upstream);
  let long = tokio::spawn(async move { run(&long, "/long").await });
  while !long.is_finished() {
    run(&upstream, "/").await.expect("an answer");
    sleep(Duration::from_millis(1)).await;
  }
  long.await.expect("no panic").expect("an answer");
}

/// Guards against taking an upstream that reads a long request slowly for one that is unreachable.
#[tokio::test]
async fn an_upstream_may_leave_a_long_request_unread() {
  const LENGTH: usize = 16 * 1024 * 1024;
  let address = raw_upstream(move |_number, mut stream| async move {
    read_head(&mut stream).await;
    sleep(Duration::from_secs(7)).await;
    let mut body = vec![0; LENGTH];
    stream.read_exact(&mut body).await.expect("a whole body");
    stream.write_all(OK).await.expect("an open connection");
  })
  .await;
  let (config, _lost_connections) = client_config(serving_view(address, 4));
  let upstream = Upstream::new(config);
  let body = full_body(vec![0; LENGTH]);
  let (call, context) = call(Method::POST, "/", body, TEST_TIMEOUT);
  let answer = upstream.call(call, context).await.expect("an answer");
  assert_eq!(answer.status, StatusCode::OK);
}

/// Guards against taking calls of slow routes, pauses of the whole upstream, and single slow calls
/// for silent connections.
#[test]
fn silence_needs_much_faster_answers_of_the_same_route() {
  let second = Duration::from_secs(1);
  let mut silence = SilenceDetector::new(3 * second);
  let (fast, slow) = (
    "fast".parse().expect("valid"),
    "slow".parse().expect("valid"),
  );
  let now = Instant::now();
  for _ in 0..3 {
    silence.record(&fast, second / 100, now);
    silence.record(&slow, 10 * second, now);
  }
  assert!(silence.is_silent(&fast, 4 * second, 0, now));
  assert!(
    !silence.is_silent(&fast, 3 * second, 0, now),
    "not above the shortest silence"
  );
  assert!(
    !silence.is_silent(&fast, 60 * second, 1, now),
    "only two other answers"
  );
  assert!(
    !silence.is_silent(&slow, 60 * second, 0, now),
    "slow by design"
  );
  assert!(silence.is_silent(&slow, 81 * second, 0, now));
  let unknown = "unknown".parse().expect("valid");
  assert!(
    !silence.is_silent(&unknown, 60 * second, 0, now),
    "no other answers"
  );
  // After the half-life of 30 s, the longest wait counts half.
  assert!(silence.is_silent(&slow, 41 * second, 0, now + 30 * second));
}
