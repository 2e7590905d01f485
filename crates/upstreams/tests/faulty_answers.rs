//! Upstreams that send an answer twice, or only a part of one.

mod support;

use {
  cactusyoke_model::{CallFailure, NotRunReason, UnknownReason},
  http_body_util::BodyExt,
  std::{
    sync::{
      Arc,
      atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
  },
  support::{marking_names, named_upstream, raw_upstream, read_head, with_id},
  tokio::{
    io::AsyncWriteExt,
    time::{sleep, timeout},
  },
  yare::parameterized,
};

/// Time limit of one call.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Guards against `not run` for a request that the upstream runs, because it wrote its earlier refusal
/// once more: that of another request, that of the same request, or one that names none.
#[parameterized(
  other_request = { "first", "second", true },
  same_request = { "first", "first", true },
  no_request = { "first", "second", false },
)]
#[test_macro(tokio::test)]
async fn a_repeated_refusal_refuses_nothing(first: &'static str, second: &'static str, echo: bool) {
  let names = marking_names();
  let runs = Arc::new(AtomicUsize::new(0));
  let counted = Arc::clone(&runs);
  let address = raw_upstream(move |number, mut stream| {
    let runs = Arc::clone(&counted);
    async move {
      let id = if echo { "cactusyoke-request: first\r\n" } else { "" };
      let repeated = format!("HTTP/1.1 503 Busy\r\n{id}cactusyoke-refused: 1\r\ncontent-length: 0\r\n\r\n");
      let refusal = "HTTP/1.1 503 Busy\r\ncactusyoke-request: first\r\ncactusyoke-refused: 1\r\ncontent-length: 0\r\n\r\n";
      if number == 0 {
        read_head(&mut stream).await;
        stream.write_all(refusal.as_bytes()).await.expect("sent");
      }
      if !read_head(&mut stream).await.is_empty() {
        runs.fetch_add(1, Ordering::SeqCst);
        // On the connection of the first request only, as a repeated answer would be.
        if number == 0 {
          drop(stream.write_all(repeated.as_bytes()).await);
        }
        sleep(Duration::from_millis(50)).await;
        let answer = format!("HTTP/1.1 200 OK\r\ncactusyoke-request: {second}\r\nmark: 1\r\ncontent-length: 2\r\n\r\nok");
        drop(stream.write_all(answer.as_bytes()).await);
      }
    }
  })
  .await;
  let upstream = named_upstream(address, names);
  let (call, context) = with_id(first, names);
  let refused = upstream.call(call, context).await.expect_err("refused");
  assert_eq!(refused, CallFailure::not_run(NotRunReason::Refused));
  let (call, context) = with_id(second, names);
  let result = timeout(CALL_LIMIT, upstream.call(call, context)).await;
  let result = result.expect("the call ends");
  assert_eq!(runs.load(Ordering::SeqCst), 1);
  match result {
    Ok(answer) => assert_eq!(answer.status, 200),
    Err(failure) => assert_eq!(failure, CallFailure::unknown(UnknownReason::BadAnswer)),
  }
}

/// Guards against an answer that looks complete although the upstream closed the connection within its
/// head, on a new connection or on one in use again.
#[parameterized(new = { false }, reused = { true })]
#[test_macro(tokio::test)]
async fn an_answer_that_ends_in_its_head_is_no_answer(reused: bool) {
  let names = marking_names();
  let head = "HTTP/1.1 200 OK\r\ncactusyoke-request: one\r\nmark: 1\r\ncontent-length: 2\r\n\r\n";
  for end in 0..head.len() {
    let address = raw_upstream(move |_number, mut stream| async move {
      if reused {
        read_head(&mut stream).await;
        let answer = format!("{head}ok");
        stream.write_all(answer.as_bytes()).await.expect("sent");
      }
      read_head(&mut stream).await;
      drop(stream.write_all(&head.as_bytes()[..end]).await);
    })
    .await;
    let upstream = named_upstream(address, names);
    if reused {
      let (call, context) = with_id("one", names);
      let answer = upstream.call(call, context).await.expect("an answer");
      answer.body.collect().await.expect("a whole body");
    }
    let (call, context) = with_id("one", names);
    let result = timeout(CALL_LIMIT, upstream.call(call, context)).await;
    let failure = result.expect("the call ends").expect_err("no answer");
    assert!(
      matches!(failure, CallFailure::Unknown { .. }),
      "after {end} bytes: {failure:?}"
    );
  }
}

/// Guards against a body that looks complete although the upstream closed the connection before its
/// stated end.
#[parameterized(
  length = { "content-length: 10", "12345" },
  no_body = { "content-length: 10", "" },
  chunked = { "transfer-encoding: chunked", "5\r\n12345\r\n" },
  within_chunk = { "transfer-encoding: chunked", "a\r\n12345" },
  last_chunk = { "transfer-encoding: chunked", "5\r\n12345\r\n0\r\n" },
)]
#[test_macro(tokio::test)]
async fn a_body_that_ends_early_is_an_error(framing: &'static str, body: &'static str) {
  let names = marking_names();
  let address = raw_upstream(move |_number, mut stream| async move {
    read_head(&mut stream).await;
    let answer =
      format!("HTTP/1.1 200 OK\r\ncactusyoke-request: one\r\nmark: 1\r\n{framing}\r\n\r\n{body}");
    stream.write_all(answer.as_bytes()).await.expect("sent");
  })
  .await;
  let upstream = named_upstream(address, names);
  let (call, context) = with_id("one", names);
  let answer = upstream.call(call, context).await.expect("a head");
  answer.body.collect().await.expect_err("a truncated body");
}
