//! Bodies and trailers pass through the node complete, or as a detectable failure.

mod support;

use {
  cactusyoke_model::BodyError,
  cactusyoke_standins::upstream::{
    ClientError, Config, HASH_HEADER, Upstream, pattern, pattern_body, pattern_hash,
  },
  futures_util::stream,
  http::Method,
  http_body::Frame,
  http_body_util::{BodyExt, StreamBody},
  std::time::Duration,
  support::{Node, client_config, raw_upstream, read_head, service, serving_view},
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
  },
};

async fn start() -> (Upstream, Node) {
  let upstream = Upstream::start(Config::new(service()))
    .await
    .expect("the stand-in starts");
  let (config, _lost_connections) = client_config(serving_view(upstream.address(), 10));
  let node = Node::forward(config).await;
  (upstream, node)
}

/// Guards against lost or reordered bytes and lost trailers, in requests and in answers.
#[tokio::test]
async fn echo_keeps_bytes_and_trailers() {
  let (_upstream, node) = start().await;
  let length = 3_000_001;
  let received = node
    .send(Method::POST, "/echo", pattern_body(length))
    .await
    .expect("a whole answer");
  assert_eq!(received.header("cactusyoke-outcome"), "answered");
  assert_eq!(received.length, length);
  assert_eq!(received.hash, pattern_hash(length));
  assert!(received.trailers.contains_key(HASH_HEADER));
  assert!(received.is_intact());
}

/// Guards against lost trailers of requests.
#[tokio::test]
async fn request_trailers_reach_the_upstream() {
  let (report, mut requests) = tokio::sync::mpsc::unbounded_channel();
  let address = raw_upstream(move |_number, mut stream| {
    let report = report.clone();
    async move {
      read_head(&mut stream).await;
      let body = read_head(&mut stream).await;
      report.send(body).expect("the test waits");
    }
  })
  .await;
  let (config, _lost_connections) = client_config(serving_view(address, 10));
  let node = Node::forward(config).await;
  let mut stream = TcpStream::connect(node.address).await.expect("the node");
  let request =
    b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\ntrailer: x-note\r\n\r\n\
    5\r\n12345\r\n0\r\nx-note: 1\r\n\r\n";
  stream.write_all(request).await.expect("the node reads");
  let body = requests.recv().await.expect("a request");
  assert!(body.contains("12345"), "{body}");
  assert!(body.ends_with("\r\nx-note: 1\r\n\r\n"), "{body}");
}

/// Guards against large bodies that delay small requests, and against bodies that are buffered
/// before they are forwarded. The last byte of the large body is sent only after the small
/// requests have been answered.
#[tokio::test]
async fn small_requests_pass_large_bodies() {
  let (_upstream, node) = start().await;
  let length = 32 << 20;
  let (gate, opened) = tokio::sync::oneshot::channel::<()>();
  let body = pattern_body(length).into_data_stream();
  let tail = stream::once(async move {
    opened.await.map_err(|_closed| BodyError::Cancelled)?;
    Ok(pattern(0, 1))
  });
  let body = stream::StreamExt::chain(body, tail);
  let body = stream::StreamExt::map(body, |data| data.map(Frame::data));
  let large = node.send(Method::POST, "/echo", StreamBody::new(body).boxed_unsync());
  let small = async {
    for _ in 0..50 {
      let received = node.get("/small").await.expect("a whole answer");
      assert_eq!(received.header("cactusyoke-outcome"), "answered");
    }
    gate.send(()).expect("the large body is still being sent");
  };
  let (large, ()) = tokio::join!(large, small);
  let large = large.expect("a whole answer");
  assert_eq!(large.length, length + 1);
  assert!(large.is_intact());
}

/// Guards against a truncated answer that looks complete to the caller.
#[tokio::test]
async fn truncated_answer_breaks_the_callers_connection() {
  let (_upstream, node) = start().await;
  let error = node.get("/cut/100000").await.expect_err("a cut answer");
  assert_eq!(error, ClientError::Truncated);
}

/// Guards against a truncated request that looks complete to the upstream, and against an upstream
/// that continues to work for a caller that has disconnected.
#[tokio::test]
async fn truncated_request_ends_the_upstreams_request() {
  let (upstream, node) = start().await;
  let (gate, cut) = tokio::sync::oneshot::channel::<()>();
  let head = stream::iter([Ok(Frame::data(pattern(0, 1000)))]);
  let tail = stream::once(async move { cut.await.map_err(|_closed| BodyError::ConnectionLost) });
  let tail = stream::StreamExt::map(tail, |ended| ended.map(|()| Frame::data(pattern(0, 0))));
  let body = StreamBody::new(stream::StreamExt::chain(head, tail)).boxed_unsync();
  let sent = node.send(Method::POST, "/record", body);
  let break_off = async {
    wait_for_in_flight(&upstream, 1).await;
    drop(gate);
  };
  let (sent, ()) = tokio::join!(sent, break_off);
  sent.expect_err("the caller itself breaks the connection");
  wait_for_in_flight(&upstream, 0).await;
}

async fn wait_for_in_flight(upstream: &Upstream, count: u32) {
  let reached = async {
    while upstream.in_flight() != count {
      sleep(Duration::from_millis(5)).await;
    }
  };
  timeout(Duration::from_secs(30), reached)
    .await
    .expect("the requests in flight reach the count");
}

/// Guards against a node that loses the answer when the upstream answers and closes the connection
/// while the caller is still sending the request body.
#[tokio::test]
async fn early_answer_reaches_the_uploading_caller() {
  let address = raw_upstream(|_number, mut stream| async move {
    read_head(&mut stream).await;
    let answer =
      b"HTTP/1.1 413 Payload Too Large\r\ncontent-length: 2\r\nconnection: close\r\n\r\nno";
    stream.write_all(answer).await.expect("the client reads");
  })
  .await;
  let (config, _lost_connections) = client_config(serving_view(address, 10));
  let node = Node::forward(config).await;
  for _ in 0..20 {
    let mut stream = TcpStream::connect(node.address).await.expect("the node");
    stream
      .write_all(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4000000\r\n\r\n")
      .await
      .expect("the node reads");
    for _ in 0..400 {
      stream
        .write_all(&[b'a'; 10_000])
        .await
        .expect("the node reads the whole upload");
    }
    stream.shutdown().await.expect("the connection is open");
    let mut response = String::new();
    timeout(
      Duration::from_secs(30),
      stream.read_to_string(&mut response),
    )
    .await
    .expect("the node closes the connection")
    .expect("no reset");
    assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
    assert!(response.ends_with("\r\n\r\nno"), "{response}");
  }
}
