//! Connection pool of the upstream client: reuse, limit, replacement and silence.

mod support;

use {
  cactusyoke_model::{
    Answer, CallFailure, NotRunReason, Slots, UnknownReason, empty_body, full_body,
  },
  cactusyoke_upstreams::{Hint, SilenceDetector, Upstream, UpstreamConfig, UpstreamView},
  futures_util::future::join_all,
  http::{Method, StatusCode},
  http_body_util::BodyExt,
  std::{
    collections::{BTreeSet, VecDeque},
    io::{Read, Write},
    sync::{
      Arc,
      atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
  },
  support::{TEST_TIMEOUT, call, client_config, get, raw_upstream, read_head, serving_view},
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{Notify, Semaphore, mpsc},
    time::{sleep, timeout},
  },
  yare::parameterized,
};

const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Answers each request after `pause`, until the connection is closed.
async fn answer_all(stream: &mut TcpStream, pause: Duration) {
  while !read_head(stream).await.is_empty() {
    sleep(pause).await;
    if stream.write_all(OK).await.is_err() {
      return;
    }
  }
}

async fn run(upstream: &Upstream, path: &str) -> Result<(), CallFailure> {
  let (call, context) = get(path);
  let Answer { body, .. } = upstream.call(call, context).await?;
  let body = body.collect().await.expect("a whole body");
  assert_eq!(body.to_bytes(), "ok");
  Ok(())
}

/// Guards against opening more connections than the upstream announced while cancelled calls close
/// theirs. Of the 4 announced connections, 3 are for calls and one is for `GET /health` and
/// `GET /load`.
#[tokio::test]
async fn connections_stay_within_the_announced_limit() {
  let (report, mut events) = mpsc::unbounded_channel();
  let address = raw_upstream(move |number, mut stream| {
    let report = report.clone();
    async move {
      report.send((number, true)).expect("the test waits");
      read_head(&mut stream).await;
      read_head(&mut stream).await;
      report.send((number, false)).expect("the test waits");
    }
  })
  .await;
  let (config, _lost_connections) = client_config(serving_view(address, 4));
  let upstream = Arc::new(Upstream::new(config));
  let mut hanging = VecDeque::new();
  let mut open = BTreeSet::new();
  for _ in 0..20 {
    while hanging.len() < 3 {
      let upstream = Arc::clone(&upstream);
      hanging.push_back(tokio::spawn(async move { run(&upstream, "/").await }));
      let (number, opened) = events.recv().await.expect("a connection");
      assert!(opened && open.insert(number));
    }
    let limit = Duration::from_millis(10);
    let (call, context) = call(Method::GET, "/", empty_body(), limit);
    let failed = upstream.call(call, context).await;
    let failed = failed.expect_err("no connection is free");
    assert_eq!(failed, CallFailure::not_run(NotRunReason::Deadline));
    events.try_recv().expect_err("no further connection");
    hanging.pop_front().expect("three calls hang").abort();
    let closing = timeout(TEST_TIMEOUT, events.recv()).await;
    let (number, opened) = closing.expect("a closed connection").expect("an event");
    assert!(!opened && open.remove(&number));
  }
}

/// Guards against ignoring a changed `connections` in a renewed announcement, and against adding it
/// to the earlier limit.
#[tokio::test]
async fn renewed_limit_takes_effect() {
  let (report, mut events) = mpsc::unbounded_channel();
  let address = raw_upstream(move |_number, mut stream| {
    let report = report.clone();
    async move {
      report.send(true).expect("the test waits");
      read_head(&mut stream).await;
      read_head(&mut stream).await;
      report.send(false).expect("the test waits");
    }
  })
  .await;
  let view_handle = serving_view(address, 4);
  let (config, _lost_connections) = client_config(view_handle.clone());
  let upstream = Arc::new(Upstream::new(config));
  let hang = || {
    let upstream = Arc::clone(&upstream);
    tokio::spawn(async move { run(&upstream, "/").await })
  };
  let no_connection = async || {
    let limit = Duration::from_millis(20);
    let (call, context) = call(Method::GET, "/", empty_body(), limit);
    let failed = upstream.call(call, context).await;
    let failed = failed.expect_err("no connection is free");
    assert_eq!(failed, CallFailure::not_run(NotRunReason::Deadline));
  };
  let calls = [hang(), hang(), hang()];
  for _ in 0..3 {
    assert_eq!(events.recv().await, Some(true));
  }
  view_handle.publish((**serving_view(address, 2).load()).clone());
  no_connection().await;
  let [first, second, third] = calls;
  for ended in [first, second] {
    ended.abort();
    assert_eq!(events.recv().await, Some(false));
    no_connection().await;
  }
  third.abort();
  assert_eq!(events.recv().await, Some(false));
  let _calls = [hang()];
  assert_eq!(events.recv().await, Some(true));
  no_connection().await;
  view_handle.publish((**serving_view(address, 4).load()).clone());
  let _calls = [hang(), hang()];
  for _ in 0..2 {
    assert_eq!(events.recv().await, Some(true));
  }
  no_connection().await;
}

/// Guards against a lowered limit that has no effect because connections go back to the pool when
/// their calls are answered.
#[tokio::test]
async fn lower_limit_closes_connections_of_answered_calls() {
  let open = Arc::new(AtomicUsize::new(0));
  let finish = Arc::new(Semaphore::new(0));
  let (opened, gate) = (Arc::clone(&open), Arc::clone(&finish));
  let address = raw_upstream(move |_number, mut stream| {
    let (opened, gate) = (Arc::clone(&opened), Arc::clone(&gate));
    async move {
      opened.fetch_add(1, Ordering::SeqCst);
      drop(gate.acquire().await.expect("open"));
      answer_all(&mut stream, Duration::ZERO).await;
      opened.fetch_sub(1, Ordering::SeqCst);
    }
  })
  .await;
  let reaches = async |count: usize| {
    let reached = async {
      while open.load(Ordering::SeqCst) != count {
        sleep(Duration::from_millis(1)).await;
      }
    };
    timeout(TEST_TIMEOUT, reached)
      .await
      .expect("the count is reached");
  };
  let view_handle = serving_view(address, 4);
  let (config, _lost_connections) = client_config(view_handle.clone());
  let upstream = Upstream::new(config);
  let calls = join_all((0..3).map(|_number| run(&upstream, "/")));
  let shrink = async {
    reaches(3).await;
    view_handle.publish((**serving_view(address, 2).load()).clone());
    let (call, context) = call(Method::GET, "/", empty_body(), Duration::from_millis(1));
    upstream
      .call(call, context)
      .await
      .expect_err("no connection is free");
    finish.add_permits(1);
  };
  let (answers, ()) = tokio::join!(calls, shrink);
  for answer in answers {
    answer.expect("an answer");
  }
  // Only one connection is left for calls, so two of the three must be closed.
  let lowered = async {
    while open.load(Ordering::SeqCst) > 1 {
      sleep(Duration::from_millis(1)).await;
    }
  };
  timeout(TEST_TIMEOUT, lowered)
    .await
    .expect("connections are closed");
  for _ in 0..10 {
    let answers = join_all((0..3).map(|_number| run(&upstream, "/"))).await;
    assert!(answers.into_iter().all(|answer| answer.is_ok()));
    reaches(1).await;
  }
}

/// Guards against leaked connections and hanging calls when many calls are cancelled at arbitrary
/// moments.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cancelled_calls_leave_no_connection_behind() {
  let open = Arc::new(AtomicUsize::new(0));
  let opened = Arc::clone(&open);
  let address = raw_upstream(move |_number, mut stream| {
    let opened = Arc::clone(&opened);
    async move {
      opened.fetch_add(1, Ordering::SeqCst);
      answer_all(&mut stream, Duration::from_millis(1)).await;
      opened.fetch_sub(1, Ordering::SeqCst);
    }
  })
  .await;
  let (config, _lost_connections) = client_config(serving_view(address, 4));
  let upstream = Upstream::new(config);
  let calls = (0..200).map(|number| {
    let upstream = &upstream;
    async move {
      if number % 5 > 0 {
        return run(upstream, "/").await.expect("an answer");
      }
      let (call, context) = get("/");
      drop(timeout(Duration::from_micros(500), upstream.call(call, context)).await);
    }
  });
  timeout(TEST_TIMEOUT, join_all(calls))
    .await
    .expect("no call hangs");
  // The upstream sees the close of a connection later than the client.
  let settled = async {
    while open.load(Ordering::SeqCst) > 3 {
      sleep(Duration::from_millis(1)).await;
    }
  };
  timeout(TEST_TIMEOUT, settled)
    .await
    .expect("idle connections are bounded");
  drop(upstream);
  let closed = async {
    while open.load(Ordering::SeqCst) > 0 {
      sleep(Duration::from_millis(1)).await;
    }
  };
  timeout(TEST_TIMEOUT, closed)
    .await
    .expect("every connection is closed");
}

/// Guards against opening a connection for each call.
#[tokio::test]
async fn connections_are_reused() {
  let opened = Arc::new(AtomicUsize::new(0));
  let count = Arc::clone(&opened);
  let address = raw_upstream(move |_number, mut stream| {
    count.fetch_add(1, Ordering::SeqCst);
    async move { answer_all(&mut stream, Duration::ZERO).await }
  })
  .await;
  let (config, _lost_connections) = client_config(serving_view(address, 4));
  let upstream = Upstream::new(config);
  for _ in 0..50 {
    run(&upstream, "/").await.expect("an answer");
  }
  assert_eq!(opened.load(Ordering::SeqCst), 1);
}

/// Guards against calls that wait for a free connection beyond their deadline.
#[tokio::test]
async fn waiting_for_a_connection_ends_with_the_deadline() {
  let address = raw_upstream(|_number, mut stream| async move {
    read_head(&mut stream).await;
    read_head(&mut stream).await;
  })
  .await;
  let (config, _lost_connections) = client_config(serving_view(address, 2));
  let upstream = Upstream::new(config);
  let (first, first_context) = get("/");
  let limit = Duration::from_millis(100);
  let (second, second_context) = call(Method::GET, "/", empty_body(), limit);
  let failed = tokio::select! {
    biased;
    _ = upstream.call(first, first_context) => panic!("the first call hangs"),
    failed = upstream.call(second, second_context) => failed,
  };
  let failed = failed.expect_err("no connection is free");
  assert_eq!(failed, CallFailure::not_run(NotRunReason::Deadline));
}

/// Guards against failed calls when the upstream has closed the idle connection that a call would
/// reuse.
#[tokio::test]
async fn closed_idle_connection_is_replaced() {
  let (closed, mut closings) = mpsc::unbounded_channel();
  let address = raw_upstream(move |_number, mut stream| {
    let closed = closed.clone();
    async move {
      read_head(&mut stream).await;
      stream.write_all(OK).await.expect("the client reads");
      drop(stream);
      closed.send(()).expect("the test waits");
    }
  })
  .await;
  let (config, lost_connections) = client_config(serving_view(address, 4));
  let upstream = Upstream::new(config);
  for _ in 0..20 {
    run(&upstream, "/").await.expect("an answer");
    closings.recv().await.expect("a closed connection");
    // Gives the runtime time to read the close, which has already arrived at the socket.
    sleep(Duration::from_millis(5)).await;
  }
  assert!(lost_connections.lock().expect("not poisoned").is_empty());
}

/// Guards against failed calls when the close of an idle connection is noticed only as the request
/// is about to be written. The test blocks the client's thread until the upstream, on a thread of
/// its own, has closed the connection. In some of the rounds the runtime then runs the test's task
/// before the task of the connection, which has not seen the close yet.
#[tokio::test]
async fn connection_that_turns_out_closed_is_replaced() {
  let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
  let address = listener.local_addr().expect("a bound address");
  let (closed, closings) = std::sync::mpsc::channel();
  std::thread::spawn(move || {
    for stream in listener.incoming() {
      let mut stream = stream.expect("a connection");
      let read = stream.read(&mut [0; 4096]).expect("a request");
      assert!(read > 0);
      stream.write_all(OK).expect("the client reads");
      drop(stream);
      if closed.send(()).is_err() {
        return;
      }
    }
  });
  let (config, lost_connections) = client_config(serving_view(address, 4));
  let upstream = Upstream::new(config);
  for _ in 0..200 {
    run(&upstream, "/").await.expect("an answer");
    closings.recv().expect("a closed connection");
    tokio::task::yield_now().await;
  }
  assert!(lost_connections.lock().expect("not poisoned").is_empty());
}

/// Guards against calls that wait for a connection that has gone silent, until their deadline,
/// while the upstream answers on other connections.
#[tokio::test]
async fn silent_connection_is_taken_out_of_use() {
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
  let (config, lost_connections) = client_config(serving_view(address, 4));
  let upstream = Arc::new(Upstream::new(UpstreamConfig {
    min_silence: Duration::from_millis(50),
    ..config
  }));
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
  let view_handle = serving_view(address, 4);
  let mut view = UpstreamView::clone(&view_handle.load());
  let announcement = view.announcement.as_mut().expect("an announced upstream");
  announcement.slots = Slots(2);
  view_handle.publish(view);
  let (config, _lost_connections) = client_config(view_handle);
  let upstream = Arc::new(Upstream::new(UpstreamConfig {
    min_silence: Duration::from_millis(50),
    ..config
  }));
  let long = Arc::clone(&upstream);
  let long = tokio::spawn(async move { run(&long, "/long").await });
  while !long.is_finished() {
    run(&upstream, "/").await.expect("an answer");
    sleep(Duration::from_millis(1)).await;
  }
  long.await.expect("no panic").expect("an answer");
}

/// Guards against keeping a silent connection although the upstream states that no call is in
/// flight.
#[tokio::test]
async fn a_call_that_the_upstream_does_not_know_is_given_up() {
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
  let view_handle = serving_view(address, 4);
  let mut view = UpstreamView::clone(&view_handle.load());
  let announcement = view.announcement.as_mut().expect("an announced upstream");
  announcement.slots = Slots(2);
  view.hints.load = Some(Hint {
    value: 0,
    received: Instant::now() + TEST_TIMEOUT,
  });
  view_handle.publish(view);
  let (config, _lost_connections) = client_config(view_handle);
  let upstream = Arc::new(Upstream::new(UpstreamConfig {
    min_silence: Duration::from_millis(50),
    ..config
  }));
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
