//! Links that are lost or time out, and peers that send invalid frames.

mod support;

use {
  bytes::Bytes,
  cactusyoke_model::{
    BodyError, CallFailure, NodeId, NotRunReason, UnknownReason, empty_body, full_body,
  },
  cactusyoke_nodes::{
    Links,
    wire::{self, Frame, Raw},
  },
  http_body_util::{BodyExt, StreamBody},
  std::time::{Duration, Instant},
  support::{Pair, RawPeer, answer, call, config, within},
  tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
  },
  yare::parameterized,
};

const UNKNOWN: CallFailure = CallFailure::unknown(UnknownReason::Connection);
const NOT_RUN: CallFailure = CallFailure::not_run(NotRunReason::Connection);

fn client() -> Links {
  let mut config = config(NodeId("127.0.0.1:9".parse().unwrap()));
  config.heartbeat_interval = Duration::from_millis(100);
  config.receive_timeout = Duration::from_millis(300);
  Links::new(config)
}

async fn listen() -> (TcpListener, NodeId) {
  let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
  let node = NodeId(listener.local_addr().unwrap());
  (listener, node)
}

/// Guards against an unknown outcome, which prevents a retry, for a call that no peer received.
#[tokio::test]
async fn a_refused_connection_is_not_run() {
  let (listener, node) = listen().await;
  drop(listener);
  let failure = within(client().call(node, call("/", empty_body()))).await;
  assert_eq!(failure.unwrap_err(), NOT_RUN);
}

/// Guards against a connection attempt for each call to a node that is down, and against a node
/// that is not tried again when it is back.
#[tokio::test]
async fn attempts_pause_after_a_failure() {
  let (listener, node) = listen().await;
  let client = client();
  let attempts = async {
    drop(listener.accept().await.unwrap());
    let first = Instant::now();
    drop(listener.accept().await.unwrap());
    first.elapsed()
  };
  let calls = async {
    loop {
      let failure = client.call(node, call("/", empty_body())).await;
      assert_eq!(failure.unwrap_err(), NOT_RUN);
      tokio::task::yield_now().await;
    }
  };
  let pause = within(async {
    tokio::select! {
      pause = attempts => pause,
      () = calls => Duration::ZERO,
    }
  })
  .await;
  assert!(pause >= Duration::from_millis(100), "{pause:?}");
}

/// Guards against a call reported as not run although the peer may have seen it, and against a
/// truncated body that looks complete.
#[tokio::test]
async fn a_lost_link_is_unknown_and_truncates_bodies() {
  let (listener, node) = listen().await;
  let client = client();
  let first = {
    let client = client.clone();
    tokio::spawn(async move { client.call(node, call("/1", empty_body())).await })
  };
  let mut peer = RawPeer::new(within(listener.accept()).await.unwrap().0);
  peer.hello(node, wire::VERSION).await;
  peer.next().await.unwrap();
  let open = peer.next().await.unwrap();
  assert!(matches!(wire::decode(&open), Ok(Frame::Open(open)) if open.stream == 1));
  let second = tokio::spawn(async move { client.call(node, call("/2", empty_body())).await });
  peer.next().await.unwrap();
  peer
    .send(&Frame::Answer(wire::AnswerHead {
      stream: 1,
      end: false,
      status: 200,
      headers: std::borrow::Cow::Owned(http::HeaderMap::new()),
      report: cactusyoke_model::Report::IDLE,
    }))
    .await;
  peer
    .send(&Frame::Data {
      stream: 1,
      bytes: Raw(b"half"),
    })
    .await;
  let answer = within(first).await.unwrap().unwrap();
  drop(peer);
  let error = within(answer.body.collect()).await.unwrap_err();
  assert_eq!(error, BodyError::ConnectionLost);
  assert_eq!(within(second).await.unwrap().unwrap_err(), UNKNOWN);
}

/// Guards against an unknown outcome for a call that was not seen according to the peer's `Close`,
/// and against a call reported as not run that was seen.
#[tokio::test]
async fn the_last_frame_of_a_peer_tells_which_calls_it_saw() {
  let (listener, node) = listen().await;
  let client = client();
  let start = |path: &'static str| {
    let client = client.clone();
    tokio::spawn(async move { client.call(node, call(path, empty_body())).await })
  };
  let first = start("/1");
  let mut peer = RawPeer::new(within(listener.accept()).await.unwrap().0);
  peer.hello(node, wire::VERSION).await;
  peer.next().await.unwrap();
  peer.next().await.unwrap();
  let second = start("/2");
  peer.next().await.unwrap();
  peer.send(&Frame::Close { last_stream: 1 }).await;
  assert_eq!(within(first).await.unwrap().unwrap_err(), UNKNOWN);
  assert_eq!(within(second).await.unwrap().unwrap_err(), NOT_RUN);
}

/// Guards against an answer body that fails at its source but looks complete to the caller.
#[tokio::test]
async fn a_body_that_fails_at_its_source_fails_at_the_receiver() {
  let mut pair = Pair::new().await;
  let pending = pair.start(call("/", empty_body()));
  let incoming = pair.next_call().await;
  let parts = vec![
    Ok(http_body::Frame::data(Bytes::from_static(b"half"))),
    Err(BodyError::Length),
  ];
  let body = StreamBody::new(futures_util::stream::iter(parts)).boxed_unsync();
  assert_eq!(
    within(incoming.reply.answer(answer(body))).await,
    Err(BodyError::Length)
  );
  let got = within(pending).await.unwrap().unwrap();
  let error = within(got.body.collect()).await.unwrap_err();
  assert_eq!(error, BodyError::Length);
}

/// Guards against an answer whose sending is aborted but that looks complete to the caller.
#[tokio::test]
async fn an_abandoned_answer_is_truncated() {
  let mut pair = Pair::new().await;
  let pending = pair.start(call("/", empty_body()));
  let incoming = pair.next_call().await;
  let first = http_body::Frame::data(Bytes::from_static(b"half"));
  let parts = futures_util::stream::once(async { Ok(first) });
  let endless = futures_util::StreamExt::chain(parts, futures_util::stream::pending());
  let answering = tokio::spawn(
    incoming
      .reply
      .answer(answer(StreamBody::new(endless).boxed_unsync())),
  );
  let mut got = within(pending).await.unwrap().unwrap();
  let chunk = within(got.body.frame()).await.unwrap().unwrap();
  assert_eq!(chunk.into_data().unwrap(), "half");
  answering.abort();
  let error = within(got.body.frame()).await.unwrap().unwrap_err();
  assert_eq!(error, BodyError::ConnectionLost);
}

/// Guards against calls that wait until their deadline on a connection that receives nothing.
#[tokio::test]
async fn a_silent_peer_is_detected_and_a_new_link_is_opened() {
  let (listener, node) = listen().await;
  let client = client();
  let pending = {
    let client = client.clone();
    tokio::spawn(async move { client.call(node, call("/", empty_body())).await })
  };
  let mut peer = RawPeer::new(within(listener.accept()).await.unwrap().0);
  peer.hello(node, wire::VERSION).await;
  assert_eq!(within(pending).await.unwrap().unwrap_err(), UNKNOWN);
  let _again = tokio::spawn(async move { client.call(node, call("/", empty_body())).await });
  within(listener.accept()).await.unwrap();
}

/// Guards against an acceptor that keeps links on which it receives nothing.
#[tokio::test]
async fn a_silent_opener_is_detected() {
  let pair = Pair::with(8, |config| {
    config.heartbeat_interval = Duration::from_millis(100);
    config.receive_timeout = Duration::from_millis(300);
  })
  .await;
  let mut peer = RawPeer::new(TcpStream::connect(pair.node.0).await.unwrap());
  peer
    .hello(NodeId("127.0.0.1:8".parse().unwrap()), wire::VERSION)
    .await;
  assert!(peer.next().await.is_some());
  assert!(peer.next().await.is_none());
  assert_eq!(pair.server.stats().links(), 0);
}

/// Guards against a call that continues past its deadline while the peer stays connected.
#[tokio::test]
async fn the_deadline_ends_a_call() {
  let mut pair = Pair::new().await;
  let mut late = call("/", empty_body());
  late.head.deadline = Instant::now() + Duration::from_millis(100);
  let pending = pair.start(late);
  let incoming = pair.next_call().await;
  assert_eq!(
    within(pending).await.unwrap().unwrap_err(),
    CallFailure::unknown(UnknownReason::Deadline)
  );
  within(incoming.cancelled.cancelled()).await;
  let mut expired = call("/", empty_body());
  expired.head.deadline = Instant::now();
  assert_eq!(
    within(pair.start(expired)).await.unwrap().unwrap_err(),
    CallFailure::not_run(NotRunReason::Deadline)
  );
}

/// Guards against an answer body that continues past the deadline of its call.
#[tokio::test]
async fn the_deadline_ends_an_answer_body() {
  let mut pair = Pair::new().await;
  let mut late = call("/", empty_body());
  late.head.deadline = Instant::now() + Duration::from_millis(300);
  let pending = pair.start(late);
  let incoming = pair.next_call().await;
  let endless = StreamBody::new(futures_util::stream::pending()).boxed_unsync();
  let answering = tokio::spawn(incoming.reply.answer(answer(endless)));
  let got = within(pending).await.unwrap().unwrap();
  assert_eq!(
    within(got.body.collect()).await.unwrap_err(),
    BodyError::Deadline
  );
  assert_eq!(within(answering).await.unwrap(), Err(BodyError::Cancelled));
}

/// Guards against a version mismatch that is reported as a malformed frame.
#[tokio::test]
async fn a_version_mismatch_is_reported() {
  let pair = Pair::new().await;
  let mut peer = RawPeer::new(TcpStream::connect(pair.node.0).await.unwrap());
  peer.hello(NodeId("127.0.0.1:8".parse().unwrap()), 7).await;
  assert!(peer.next().await.is_some());
  assert!(peer.next().await.is_none());
  assert_eq!(
    wire::FrameError::Version { peer_version: 7 }.to_string(),
    "the other node speaks version `7` of the link protocol and this one `6`: run the same release on both"
  );
  // A later version may have other fields.
  assert_eq!(
    wire::decode(&[0, 9, 255, 255]),
    Err(wire::FrameError::Version { peer_version: 9 })
  );
}

/// Guards against an invalid frame that disturbs other connections.
#[parameterized(
  oversized = { &[0, 1, 0, 1] },
  empty = { &[0, 0, 0, 0] },
  unknown_tag = { &[0, 0, 0, 1, 99] },
  unopened_stream = { &[0, 0, 0, 3, 7, 200, 1] },
  frame_of_the_other_side = { &[0, 0, 0, 3, 5, 1, 0] },
)]
#[test_macro(tokio::test)]
async fn a_bad_frame_closes_only_its_connection(bytes: &[u8]) {
  let mut pair = Pair::new().await;
  let mut peer = RawPeer::new(TcpStream::connect(pair.node.0).await.unwrap());
  peer
    .hello(NodeId("127.0.0.1:8".parse().unwrap()), wire::VERSION)
    .await;
  assert!(peer.next().await.is_some());
  let pending = pair.start(call("/", full_body("x")));
  let incoming = pair.next_call().await;
  peer.socket.write_all(bytes).await.unwrap();
  assert!(peer.next().await.is_none());
  incoming.reply.answer(answer(full_body("y"))).await.unwrap();
  let got = within(pending).await.unwrap().unwrap();
  assert_eq!(within(got.body.collect()).await.unwrap().to_bytes(), "y");
  assert_eq!(pair.server.stats().protocol_errors(), 1);
}

/// Guards against a sender that exhausts the memory of the receiver: a body beyond its credit
/// closes the link.
#[tokio::test]
async fn a_body_beyond_its_credit_closes_the_link() {
  let mut pair = Pair::new().await;
  let mut peer = RawPeer::new(TcpStream::connect(pair.node.0).await.unwrap());
  peer
    .hello(NodeId("127.0.0.1:8".parse().unwrap()), wire::VERSION)
    .await;
  peer.next().await.unwrap();
  let head = support::head("/");
  let open = wire::Open::new(
    1,
    cactusyoke_nodes::Hop::Instance,
    false,
    &head,
    Instant::now(),
  );
  peer.send(&Frame::Open(open)).await;
  let incoming = pair.next_call().await;
  let bytes = vec![0; wire::MAX_DATA];
  let data = Frame::Data {
    stream: 1,
    bytes: Raw(&bytes),
  };
  for _ in 0..8 {
    peer.send(&data).await;
  }
  peer.send(&Frame::Ping).await;
  assert!(!incoming.cancelled.is_cancelled());
  peer.send(&data).await;
  assert!(peer.next().await.is_none());
  within(incoming.cancelled.cancelled()).await;
  let error = within(incoming.call.body.collect()).await.unwrap_err();
  assert_eq!(error, BodyError::ConnectionLost);
  assert_eq!(pair.server.stats().protocol_errors(), 1);
}

/// Guards against calls sent to a node that has taken over the address of another.
#[tokio::test]
async fn another_node_at_the_address_is_refused() {
  let (listener, node) = listen().await;
  let client = client();
  let pending = tokio::spawn(async move { client.call(node, call("/", empty_body())).await });
  let mut peer = RawPeer::new(within(listener.accept()).await.unwrap().0);
  peer
    .hello(NodeId("127.0.0.1:8".parse().unwrap()), wire::VERSION)
    .await;
  assert_eq!(within(pending).await.unwrap().unwrap_err(), NOT_RUN);
}
