//! Bodies reach the other side complete, or are recognisably truncated.

mod support;

use {
  cactusyoke_callers::Limits,
  cactusyoke_model::{BodyError, CallFailure, NotRunReason, empty_body},
  cactusyoke_standins::upstream::ClientError,
  futures_util::stream,
  http::{HeaderMap, HeaderValue, Request, header},
  http_body_util::BodyExt,
  std::future::pending,
  support::{Listener, TEST_TIMEOUT, answer, read_all, read_until, stream_body, text_answer},
  tokio::{io::AsyncWriteExt, sync::mpsc, time::timeout},
  yare::parameterized,
};

/// Guards against an answer that looks complete although it is truncated or differs from its
/// declared length.
#[parameterized(
  short = { Some("5"), &[Ok("1234")] },
  long_in_one_piece = { Some("5"), &[Ok("123456")] },
  long_in_two_pieces = { Some("5"), &[Ok("12345"), Ok("6")] },
  error_after_the_length = { Some("5"), &[Ok("12345"), Err(BodyError::ConnectionLost)] },
  error_before_the_length = { Some("5"), &[Ok("1234"), Err(BodyError::Deadline)] },
  error_without_length = { None, &[Ok("12345"), Err(BodyError::ConnectionLost)] },
  error_only = { None, &[Err(BodyError::Cancelled)] },
)]
#[test_macro(tokio::test)]
async fn wrong_answers_break_the_connection(
  length: Option<&'static str>,
  frames: &'static [Result<&'static str, BodyError>],
) {
  let listener = Listener::start(Limits::default(), move |_request| async move {
    let mut headers = HeaderMap::new();
    if let Some(length) = length {
      headers.insert(header::CONTENT_LENGTH, HeaderValue::from_static(length));
    }
    let body = stream_body(stream::iter(frames.iter().copied()));
    Ok(answer(headers, body))
  })
  .await;
  let request = Request::get("/").body(empty_body()).expect("valid");
  let error = listener
    .client
    .exchange(listener.address, request)
    .await
    .expect_err("no whole answer");
  assert_ne!(error, ClientError::Connect);
}

/// Guards against a truncated request that looks complete to the upstream.
#[parameterized(
  length = { "content-length: 10\r\n\r\n12345" },
  chunked = { "transfer-encoding: chunked\r\n\r\n5\r\n12345\r\n" },
)]
#[test_macro(tokio::test)]
async fn truncated_requests_end_with_an_error(rest: &str) {
  let (ended, mut errors) = mpsc::unbounded_channel();
  let listener = Listener::start(Limits::default(), move |request| {
    let ended = ended.clone();
    async move {
      let mut body = request.body;
      while let Some(frame) = body.frame().await {
        if let Err(error) = frame {
          ended.send(error).expect("the test waits for the error");
        }
      }
      Err(CallFailure::not_run(NotRunReason::Cancelled))
    }
  })
  .await;
  let mut stream = listener.connect().await;
  stream
    .write_all(format!("POST / HTTP/1.1\r\nhost: x\r\n{rest}").as_bytes())
    .await
    .expect("the listener reads");
  stream.shutdown().await.expect("the connection is open");
  let error = timeout(TEST_TIMEOUT, errors.recv())
    .await
    .expect("an error");
  assert_eq!(error, Some(BodyError::ConnectionLost));
}

/// Guards against an answer to `HEAD` that is taken for one with a body shorter than its declared
/// length.
#[tokio::test]
async fn head_keeps_the_length() {
  let listener = Listener::start(Limits::default(), |_request| async {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_LENGTH, HeaderValue::from_static("5000"));
    Ok(answer(headers, empty_body()))
  })
  .await;
  let response = listener
    .send_raw("HEAD / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
    .await;
  assert!(response.contains("content-length: 5000\r\n"), "{response}");
  assert!(response.ends_with("\r\n\r\n"), "{response}");
}

/// Guards against a missing `100 Continue`: a caller that expects it would never send its body.
#[tokio::test]
async fn continue_is_sent_when_the_body_is_read() {
  let listener = Listener::start(Limits::default(), |request| async move {
    let body = request.body.collect().await.expect("a whole body");
    assert_eq!(body.to_bytes(), "12345");
    assert!(!request.headers.contains_key(header::EXPECT));
    Ok(text_answer("done"))
  })
  .await;
  let mut stream = listener.connect().await;
  stream
    .write_all(b"PUT / HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 5\r\n\r\n")
    .await
    .expect("the listener reads");
  read_until(&mut stream, "HTTP/1.1 100 Continue\r\n\r\n").await;
  stream
    .write_all(b"12345")
    .await
    .expect("the listener reads");
  read_until(&mut stream, "done").await;
}

/// Guards against calls that keep running after their caller has disconnected.
#[tokio::test]
async fn lost_caller_drops_the_call() {
  let (started, mut calls) = mpsc::unbounded_channel();
  let listener = Listener::start(Limits::default(), move |_request| {
    let (alive, dropped) = mpsc::channel::<()>(1);
    started.send(dropped).expect("the test waits for the call");
    async move {
      let _alive = alive;
      pending().await
    }
  })
  .await;
  let mut stream = listener.connect().await;
  stream
    .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    .await
    .expect("the listener reads");
  let mut dropped = calls.recv().await.expect("a call");
  drop(stream);
  let end = timeout(TEST_TIMEOUT, dropped.recv())
    .await
    .expect("a dropped call");
  assert_eq!(end, None);
}

/// Guards against responses that a caller in the middle of an upload does not receive: closing the
/// connection with unread bytes resets it.
#[parameterized(
  length = { "content-length: 8000000\r\n\r\n", "", false },
  chunked = { "transfer-encoding: chunked\r\n\r\n7a1200\r\n", "\r\n0\r\n\r\n", false },
  answered = { "content-length: 8000000\r\n\r\n", "", true },
  bad_key = { "idempotency-key: \r\ncontent-length: 8000000\r\n\r\n", "", false },
  malformed = { "content-length: x\r\n\r\n", "", false },
  long_head = { "x: 80001\r\nlong: ", "", false },
)]
#[test_macro(tokio::test)]
async fn early_responses_reach_uploading_callers(head: &str, end: &str, answered: bool) {
  let listener = Listener::start(Limits::default(), move |_request| async move {
    if answered {
      return Ok(text_answer("early"));
    }
    Err(CallFailure::not_run(NotRunReason::Shed))
  })
  .await;
  for _ in 0..5 {
    let mut stream = listener.connect().await;
    stream
      .write_all(format!("POST / HTTP/1.1\r\nhost: x\r\n{head}").as_bytes())
      .await
      .expect("the listener reads");
    for _ in 0..800 {
      stream
        .write_all(&[b'a'; 10_000])
        .await
        .expect("the listener reads the whole upload");
    }
    stream
      .write_all(end.as_bytes())
      .await
      .expect("the listener reads");
    stream.shutdown().await.expect("the connection is open");
    let response = read_all(&mut stream).await;
    assert!(response.starts_with("HTTP/1.1 "), "{response}");
    let complete = response.ends_with("early")
      || response.ends_with("`retry-after`\n")
      || response.ends_with("visible ASCII characters\n")
      || response.ends_with("\r\n\r\n");
    assert!(complete, "{response}");
  }
}

/// Guards against a refusal that is held back until the upload has ended.
#[tokio::test]
async fn refusals_do_not_wait_for_the_upload() {
  let listener = Listener::start(Limits::default(), |_request| async {
    Err(CallFailure::not_run(NotRunReason::Shed))
  })
  .await;
  let mut stream = listener.connect().await;
  stream
    .write_all(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\n12345")
    .await
    .expect("the listener reads");
  read_until(&mut stream, "after the time in `retry-after`\n").await;
}

/// Guards against a `100 Continue` before a refusal, which makes the caller send a body in vain.
#[tokio::test]
async fn refusals_do_not_ask_for_the_body() {
  let listener = Listener::start(Limits::default(), |_request| async {
    Err(CallFailure::not_run(NotRunReason::Shed))
  })
  .await;
  let response = listener
    .send_raw("PUT / HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 5\r\n\r\n")
    .await;
  assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
}
