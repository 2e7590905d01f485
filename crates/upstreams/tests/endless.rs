//! Upstreams that send bytes without end, in a head or a body, until the client closes.

mod support;

use {
  cactusyoke_upstreams::Upstream,
  http::Method,
  http_body_util::BodyExt,
  std::time::{Duration, Instant},
  support::{TEST_TIMEOUT, call, client_config, raw_upstream, read_head, serving_view},
  tokio::{io::AsyncWriteExt, sync::mpsc, time::timeout},
  yare::parameterized,
};

/// Time limit of each call.
const LIMIT: Duration = Duration::from_millis(400);

/// Time after the limit within which the call must have failed.
const MARGIN: Duration = Duration::from_millis(500);

/// Most bytes of one answer head that the client takes: what a machine with 160 MB has for each of
/// 200 such upstreams, with half of the memory left for other work, and the socket buffers of both
/// sides.
const HEAD_BYTES: usize = 400 * 1024 + 8 * 1024 * 1024;

const HEAD: &str = "HTTP/1.1 200 OK\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Guards against a call, its memory and its connection that last for as long as the upstream sends.
/// `bounded`: the client must stop reading by itself, since it would have to keep the bytes; the
/// others end with the call.
#[parameterized(
  status_line = { "HTTP/1.1 200 ", "O", true },
  no_protocol = { "", "x", true },
  one_header = { "HTTP/1.1 200 OK\r\na: ", "b", true },
  many_headers = { HEAD, "a: b\r\n", true },
  interim_answers = { "", "HTTP/1.1 102 Processing\r\n\r\n", false },
  chunk_size = { CHUNKED, "f", true },
  zeros = { CHUNKED, "0", false },
  chunk_extension = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", "e", true },
  trailers = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "a: b\r\n", true },
  chunks = { CHUNKED, "1\r\na\r\n", false },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn endless_answers_fail_in_time(start: &'static str, rest: &'static str, bounded: bool) {
  let (report, mut closed) = mpsc::unbounded_channel();
  let address = raw_upstream(move |_number, mut stream| {
    let report = report.clone();
    async move {
      read_head(&mut stream).await;
      let mut sent = 0;
      let mut next = start.to_owned();
      while stream.write_all(next.as_bytes()).await.is_ok() {
        sent += next.len();
        next = rest.repeat(4096 / rest.len());
      }
      report.send(sent).expect("the test waits");
    }
  })
  .await;
  let (config, _lost_connections) = client_config(serving_view(address, 10));
  let upstream = Upstream::new(config);
  let started = Instant::now();
  let (call, context) = call(Method::GET, "/", cactusyoke_model::empty_body(), LIMIT);
  if let Ok(answer) = upstream.call(call, context).await {
    assert!(
      answer.body.collect().await.is_err(),
      "not a complete answer"
    );
  }
  assert!(
    started.elapsed() < LIMIT + MARGIN,
    "{:?}",
    started.elapsed()
  );
  let sent = timeout(TEST_TIMEOUT, closed.recv()).await;
  let sent = sent.expect("a closed connection").expect("a report");
  assert!(!bounded || sent <= HEAD_BYTES, "{sent} bytes were read");
}

/// Guards against bytes after a complete answer that reach the next caller, or keep the connection
/// busy for ever.
#[tokio::test(flavor = "multi_thread")]
async fn endless_bytes_after_an_answer_reach_nobody() {
  let address = raw_upstream(|number, mut stream| async move {
    read_head(&mut stream).await;
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    if stream.write_all(answer.as_bytes()).await.is_err() || number > 0 {
      return;
    }
    let other = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother".repeat(100);
    while stream.write_all(other.as_bytes()).await.is_ok() {}
  })
  .await;
  let (config, _lost_connections) = client_config(serving_view(address, 10));
  let upstream = Upstream::new(config);
  for pause in [0, 0, 50, 0] {
    tokio::time::sleep(Duration::from_millis(pause)).await;
    let (call, context) = call(Method::GET, "/", cactusyoke_model::empty_body(), LIMIT);
    let Ok(answer) = upstream.call(call, context).await else {
      continue;
    };
    let body = answer.body.collect().await.expect("a complete answer");
    assert_eq!(body.to_bytes(), "ok");
  }
}
