//! Limits of the listener, and callers that stall.

mod support;

use {
  cactusyoke_callers::Limits,
  cactusyoke_model::{BodyError, ByteSize, CallFailure, NotRunReason},
  futures_util::stream,
  http::HeaderMap,
  http_body_util::BodyExt,
  std::{
    sync::{
      Arc,
      atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
  },
  support::{Listener, TEST_TIMEOUT, answer, read_all, read_until, stream_body, text_answer},
  tokio::{io::AsyncWriteExt, sync::mpsc, time::timeout},
  yare::parameterized,
};

/// Idle limit of tests that wait for it.
const IDLE_LIMIT: Duration = Duration::from_millis(200);

/// Guards against unbounded request heads, and against running a request whose declared body length
/// is above the limit.
#[parameterized(
  long_header = { format!("x-long: {}", "a".repeat(3000)), "431", "limit" },
  many_headers = { "x-many: 1\r\n".repeat(40).trim_end().to_owned(), "431", "limit" },
  body = { "content-length: 1001".to_owned(), "413", "limit" },
)]
#[test_macro(tokio::test)]
async fn large_requests_are_refused(header: String, status: &str, reason: &str) {
  let limits = Limits {
    header_bytes: 2000,
    headers: 20,
    body: ByteSize(1000),
    ..Limits::default()
  };
  let runs = Arc::new(AtomicUsize::new(0));
  let count = Arc::clone(&runs);
  let listener = Listener::start(limits, move |_request| {
    count.fetch_add(1, Ordering::SeqCst);
    async { Ok(text_answer("ok")) }
  })
  .await;
  let response = listener
    .send_raw(&format!(
      "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{header}\r\n\r\n"
    ))
    .await;
  assert!(
    response.starts_with(&format!("HTTP/1.1 {status} ")),
    "{response}"
  );
  assert!(
    response.contains("cactusyoke-outcome: not-run\r\n"),
    "{response}"
  );
  assert!(
    response.contains(&format!("cactusyoke-reason: {reason}\r\n")),
    "{response}"
  );
  assert_eq!(runs.load(Ordering::SeqCst), 0);
}

/// Guards against a body above the limit that declares no length.
#[tokio::test]
async fn long_chunked_body_ends_with_an_error() {
  let limits = Limits {
    body: ByteSize(10),
    ..Limits::default()
  };
  let (ended, mut errors) = mpsc::unbounded_channel();
  let listener = Listener::start(limits, move |request| {
    let ended = ended.clone();
    async move {
      let body = request.body.collect().await;
      ended
        .send(body.err())
        .expect("the test waits for the result");
      Err(CallFailure::not_run(NotRunReason::Cancelled))
    }
  })
  .await;
  listener
    .send_raw("POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n")
    .await;
  assert_eq!(errors.recv().await, Some(Some(BodyError::Length)));
}

/// Guards against an unbounded number of connections: one above the limit is answered with 429, and
/// its caller can come back later.
#[tokio::test]
async fn connections_beyond_the_limit_are_refused() {
  let limits = Limits {
    connections: 1,
    ..Limits::default()
  };
  let listener = Listener::start(limits, |_request| async { Ok(text_answer("ok")) }).await;
  let request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
  let mut first = listener.connect().await;
  first
    .write_all(request.as_bytes())
    .await
    .expect("the listener reads");
  read_until(&mut first, "ok").await;
  let refused = listener.send_raw(request).await;
  assert!(refused.starts_with("HTTP/1.1 429 "), "{refused}");
  assert!(refused.contains("retry-after: 1\r\n"), "{refused}");
  assert!(refused.contains("connection: close\r\n"), "{refused}");
  assert!(refused.ends_with(
    "not run (limit): 1 connections are open, which is the limit: reuse connections, or send again after the time in `retry-after`\n"
  ));
  drop(first);
  let served = async {
    let request = "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    while !listener
      .send_raw(request)
      .await
      .starts_with("HTTP/1.1 200 ")
    {}
  };
  timeout(TEST_TIMEOUT, served)
    .await
    .expect("a place becomes free");
}

/// Guards against callers that hold a connection open without finishing a request head.
#[parameterized(
  silent = { "" },
  unfinished = { "GET / HTTP/1.1\r\nhost: x\r\n" },
  idle = { "GET / HTTP/1.1\r\nhost: x\r\n\r\n" },
)]
#[test_macro(tokio::test)]
async fn stalled_heads_are_closed(text_sent: &str) {
  let limits = Limits {
    idle: IDLE_LIMIT,
    ..Limits::default()
  };
  let listener = Listener::start(limits, |_request| async { Ok(text_answer("ok")) }).await;
  listener.send_raw(text_sent).await;
}

/// Guards against callers that keep a call running by not finishing its body, also when they send
/// single bytes.
#[parameterized(silent = { 0 }, trickling = { 1 })]
#[test_macro(tokio::test)]
async fn stalled_body_ends_with_an_error(bytes: usize) {
  let limits = Limits {
    idle: IDLE_LIMIT,
    ..Limits::default()
  };
  let (ended, mut errors) = mpsc::unbounded_channel();
  let listener = Listener::start(limits, move |request| {
    let ended = ended.clone();
    async move {
      let body = request.body.collect().await;
      ended
        .send(body.err())
        .expect("the test waits for the result");
      Err(CallFailure::not_run(NotRunReason::Cancelled))
    }
  })
  .await;
  let mut stream = listener.connect().await;
  stream
    .write_all(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 100000\r\n\r\n")
    .await
    .expect("the listener reads");
  let trickle = async {
    let mut pause = tokio::time::interval(IDLE_LIMIT / 4);
    loop {
      pause.tick().await;
      if stream.write_all(&vec![b'a'; bytes]).await.is_err() {
        std::future::pending::<()>().await;
      }
    }
  };
  let error = tokio::select! {
    error = errors.recv() => error,
    () = trickle => None,
  };
  assert_eq!(error, Some(Some(BodyError::ConnectionLost)));
}

/// Guards against callers that keep a call running by not reading the answer.
#[tokio::test]
async fn unread_answer_is_dropped() {
  let limits = Limits {
    idle: IDLE_LIMIT,
    ..Limits::default()
  };
  let (dropped, mut drops) = mpsc::unbounded_channel::<()>();
  let listener = Listener::start(limits, move |_request| {
    let dropped = dropped.clone();
    async move {
      let endless = stream::repeat_with(move || {
        assert!(!dropped.is_closed());
        Ok("0123456789abcdef0123456789abcdef")
      });
      Ok(answer(HeaderMap::new(), stream_body(endless)))
    }
  })
  .await;
  let mut stream = listener.connect().await;
  stream
    .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    .await
    .expect("the listener reads");
  // The handler and the body of the answer hold the only senders, so the channel closes only when
  // the listener has ended and the body is dropped.
  listener.shutdown.cancel();
  timeout(TEST_TIMEOUT, listener.served)
    .await
    .expect("the stalled answer does not hold up the shutdown")
    .expect("no panic");
  assert_eq!(drops.recv().await, None);
  read_all(&mut stream).await;
}
