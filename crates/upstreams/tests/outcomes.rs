//! Outcomes of calls whose upstream fails, refuses them or does not answer in time.

mod support;

use {
  cactusyoke_model::{
    BodyError, Call, CallFailure, Context, NotRunReason, UnknownReason, empty_body,
  },
  cactusyoke_upstreams::{AnswerPart, Phase, Upstream, UpstreamView, ViewHandle},
  futures_util::stream,
  http::Method,
  http_body::Frame,
  http_body_util::{BodyExt, StreamBody},
  std::{
    net::SocketAddr,
    time::{Duration, Instant},
  },
  support::{TEST_TIMEOUT, call, client_config, get, raw_upstream, read_head, serving_view},
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::mpsc,
    time::timeout,
  },
  yare::parameterized,
};

/// Upstream that reads one request head on each connection, sends `answer` and closes it.
async fn upstream_answering(answer: &'static str) -> SocketAddr {
  raw_upstream(move |_number, mut stream| async move {
    read_head(&mut stream).await;
    stream
      .write_all(answer.as_bytes())
      .await
      .expect("the client reads");
  })
  .await
}

fn failure(answer: Result<cactusyoke_model::Answer, CallFailure>) -> CallFailure {
  answer.expect_err("no answer")
}

/// Guards against an outcome that permits a retry of a request that may have run, and against lost
/// connections that are not reported: they are needed to find requests that crash their upstream.
#[parameterized(
  nothing = { "", UnknownReason::Connection, 1 },
  half_a_head = { "HTTP/1.1 200 OK\r\ncontent-le", UnknownReason::Connection, 1 },
  no_http = { "SSH-2.0-x\r\n\r\n", UnknownReason::BadAnswer, 0 },
  no_end = { "HTTP/1.1 200 OK\r\n\r\nhello", UnknownReason::BadAnswer, 0 },
  http_1_0 = { "HTTP/1.0 200 OK\r\n\r\nhello", UnknownReason::BadAnswer, 0 },
  switched = {
    "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n",
    UnknownReason::BadAnswer, 0,
  },
  two_lengths = {
    "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
    UnknownReason::BadAnswer, 0,
  },
)]
#[test_macro(tokio::test)]
async fn failures_after_the_request_are_unknown(
  answer: &'static str,
  reason: UnknownReason,
  lost_count: usize,
) {
  let (config, lost_connections) =
    client_config(serving_view(upstream_answering(answer).await, 10));
  let (call, context) = get("/");
  let failed = failure(Upstream::new(config).call(call, context).await);
  assert_eq!(failed, CallFailure::unknown(reason));
  let lost_connections = lost_connections.lock().expect("not poisoned");
  assert_eq!(lost_connections.len(), lost_count);
  for lost in lost_connections.iter() {
    assert_eq!(lost.part, AnswerPart::Head);
    assert_eq!(lost.span, context.span);
    assert_eq!(lost.root, context.root);
    assert!(!lost.reused);
  }
}

/// Guards against a truncated answer that looks complete, and against a connection lost within the
/// body of an answer that is not reported.
#[parameterized(
  length = { "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345" },
  chunked = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12345\r\n" },
)]
#[test_macro(tokio::test)]
async fn connection_lost_in_the_body_is_an_error(answer: &'static str) {
  let (config, lost_connections) =
    client_config(serving_view(upstream_answering(answer).await, 10));
  let (call, context) = get("/");
  let answer = Upstream::new(config)
    .call(call, context)
    .await
    .expect("a head");
  let error = answer.body.collect().await.expect_err("a cut body");
  assert_eq!(error, BodyError::ConnectionLost);
  let lost_connections = lost_connections.lock().expect("not poisoned");
  assert_eq!(lost_connections.len(), 1);
  assert_eq!(lost_connections[0].part, AnswerPart::Body);
}

/// Guards against an unknown outcome when the request cannot have run.
#[tokio::test]
async fn refused_connection_is_not_run() {
  let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
  let address = listener.local_addr().expect("a bound address");
  drop(listener);
  let (config, lost_connections) = client_config(serving_view(address, 10));
  let (call, context) = get("/");
  let failed = failure(Upstream::new(config).call(call, context).await);
  assert_eq!(failed, CallFailure::not_run(NotRunReason::Connection));
  assert!(lost_connections.lock().expect("not poisoned").is_empty());
}

/// Guards against calls to an upstream in a phase in which it takes none.
#[parameterized(
  announced = { Phase::Announced, NotRunReason::NoUpstream },
  draining = { Phase::Draining, NotRunReason::Draining },
  gone = { Phase::Gone, NotRunReason::NoUpstream },
)]
#[test_macro(tokio::test)]
async fn calls_outside_serving_phases_are_not_run(phase: Phase, reason: NotRunReason) {
  let (config, _lost_connections) = client_config(ViewHandle::new(UpstreamView {
    phase,
    ..UpstreamView::absent(Instant::now())
  }));
  let (call, context) = get("/");
  let failed = failure(Upstream::new(config).call(call, context).await);
  assert_eq!(failed, CallFailure::not_run(reason));
}

/// Guards against starting calls whose deadline has passed, and against paths that would inject
/// other content into the request.
#[parameterized(
  late = { "/", Duration::ZERO, NotRunReason::Deadline },
  no_path = { "x:1", TEST_TIMEOUT, NotRunReason::BadRequest },
  two_lines = { "/ HTTP/1.1\r\nx: y", TEST_TIMEOUT, NotRunReason::BadRequest },
)]
#[test_macro(tokio::test)]
async fn unusable_calls_are_not_run(path: &str, limit: Duration, reason: NotRunReason) {
  let address = raw_upstream(|_number, _stream| async { panic!("a connection") }).await;
  let (config, _lost_connections) = client_config(serving_view(address, 10));
  let (call, context) = call(Method::GET, path, empty_body(), limit);
  let failed = failure(Upstream::new(config).call(call, context).await);
  assert_eq!(failed, CallFailure::not_run(reason));
}

/// Guards against calls that outlive their deadline, and against leaving their connection open, by
/// which the upstream would not notice that the call has ended.
#[tokio::test]
async fn deadline_closes_the_connection() {
  let (report, mut events) = mpsc::unbounded_channel();
  let address = raw_upstream(move |_number, mut stream| {
    let report = report.clone();
    async move {
      read_head(&mut stream).await;
      let end = stream.read(&mut [0; 16]).await;
      report.send(end.unwrap_or(0)).expect("the test waits");
    }
  })
  .await;
  let (config, lost_connections) = client_config(serving_view(address, 10));
  let limit = Duration::from_millis(100);
  let (call, context) = call(Method::GET, "/", empty_body(), limit);
  let failed = failure(Upstream::new(config).call(call, context).await);
  assert_eq!(failed, CallFailure::unknown(UnknownReason::Deadline));
  let end = timeout(TEST_TIMEOUT, events.recv())
    .await
    .expect("a closed connection");
  assert_eq!(end, Some(0));
  assert!(lost_connections.lock().expect("not poisoned").is_empty());
}

/// Guards against answer bodies that outlive the deadline of their call.
#[tokio::test]
async fn deadline_cuts_the_body() {
  let address = raw_upstream(|_number, mut stream| async move {
    read_head(&mut stream).await;
    let head = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345";
    stream.write_all(head).await.expect("the client reads");
    read_head(&mut stream).await;
  })
  .await;
  let (config, lost_connections) = client_config(serving_view(address, 10));
  let limit = Duration::from_millis(300);
  let (call, context) = call(Method::GET, "/", empty_body(), limit);
  let answer = Upstream::new(config)
    .call(call, context)
    .await
    .expect("a head");
  let error = answer.body.collect().await.expect_err("a cut body");
  assert_eq!(error, BodyError::Deadline);
  assert!(lost_connections.lock().expect("not poisoned").is_empty());
}

/// Guards against callers that occupy the upstream beyond the deadline by not reading the answer.
#[tokio::test]
async fn deadline_frees_the_upstream_of_an_unread_answer() {
  let (report, mut events) = mpsc::unbounded_channel();
  let address = raw_upstream(move |_number, mut stream| {
    let report = report.clone();
    async move {
      read_head(&mut stream).await;
      let head = b"HTTP/1.1 200 OK\r\ncontent-length: 100000000000\r\n\r\n";
      stream.write_all(head).await.expect("the client reads");
      while stream.write_all(&[0; 10_000]).await.is_ok() {}
      report.send(()).expect("the test waits");
    }
  })
  .await;
  let (config, lost_connections) = client_config(serving_view(address, 10));
  let limit = Duration::from_millis(300);
  let (call, context) = call(Method::GET, "/", empty_body(), limit);
  let answer = Upstream::new(config)
    .call(call, context)
    .await
    .expect("a head");
  timeout(TEST_TIMEOUT, events.recv())
    .await
    .expect("a closed connection");
  let error = answer.body.collect().await.expect_err("a cut body");
  assert_eq!(error, BodyError::Deadline);
  assert!(lost_connections.lock().expect("not poisoned").is_empty());
}

/// Guards against leaving the connection of a cancelled call open, by which the upstream would
/// continue to work for it.
#[parameterized(head = { "" }, body = { "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345" })]
#[test_macro(tokio::test)]
async fn cancellation_closes_the_connection(answer: &'static str) {
  let (report, mut events) = mpsc::unbounded_channel();
  let address = raw_upstream(move |_number, mut stream| {
    let report = report.clone();
    async move {
      read_head(&mut stream).await;
      stream
        .write_all(answer.as_bytes())
        .await
        .expect("the client reads");
      report.send(1).expect("the test waits");
      let end = stream.read(&mut [0; 16]).await;
      report.send(end.unwrap_or(0)).expect("the test waits");
    }
  })
  .await;
  let (config, lost_connections) = client_config(serving_view(address, 10));
  let upstream = Upstream::new(config);
  let (call, context) = get("/");
  let running = tokio::spawn(async move {
    let answer = upstream.call(call, context).await;
    answer.expect("a head").body.collect().await
  });
  assert_eq!(events.recv().await, Some(1));
  running.abort();
  let end = timeout(TEST_TIMEOUT, events.recv())
    .await
    .expect("a closed connection");
  assert_eq!(end, Some(0));
  assert!(lost_connections.lock().expect("not poisoned").is_empty());
}

/// Guards against reporting a lost connection when the caller truncated its request body.
#[tokio::test]
async fn truncated_request_is_cancelled_not_lost() {
  let address = raw_upstream(|_number, mut stream| async move {
    read_head(&mut stream).await;
    read_head(&mut stream).await;
  })
  .await;
  let (config, lost_connections) = client_config(serving_view(address, 10));
  let truncated = stream::once(async {
    tokio::time::sleep(Duration::from_millis(50)).await;
    Err::<Frame<bytes::Bytes>, BodyError>(BodyError::ConnectionLost)
  });
  let (call, context): (Call, Context) = call(
    Method::POST,
    "/",
    StreamBody::new(truncated).boxed_unsync(),
    TEST_TIMEOUT,
  );
  let failed = failure(Upstream::new(config).call(call, context).await);
  assert_eq!(failed, CallFailure::unknown(UnknownReason::Cancelled));
  assert!(lost_connections.lock().expect("not poisoned").is_empty());
}

/// Guards against losing the answer, and reporting a lost connection, when the upstream rejects a
/// large request before it has read all of it, and closes the connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn early_answer_is_received() {
  let address = raw_upstream(|_number, mut stream| async move {
    read_head(&mut stream).await;
    let answer =
      b"HTTP/1.1 413 Payload Too Large\r\ncontent-length: 2\r\nconnection: close\r\n\r\nno";
    stream.write_all(answer).await.expect("the client reads");
  })
  .await;
  let (config, lost_connections) = client_config(serving_view(address, 10));
  let upstream = Upstream::new(config);
  for _ in 0..200 {
    let body = cactusyoke_standins::upstream::pattern_body(1_000_000);
    let (call, context) = call(Method::POST, "/", body, TEST_TIMEOUT);
    let answer = upstream.call(call, context).await.expect("a head");
    assert_eq!(answer.status, 413);
    let body = answer.body.collect().await.expect("a whole body");
    assert_eq!(body.to_bytes(), "no");
  }
  assert!(lost_connections.lock().expect("not poisoned").is_empty());
}
