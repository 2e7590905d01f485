//! Calls and answers over a link.

mod support;

use {
  bytes::Bytes,
  cactusyoke_model::{
    BodyError, CallFailure, InstanceLoad, Level, NotRunReason, Report, Retries, UnknownReason,
    empty_body, full_body,
  },
  cactusyoke_nodes::Hop,
  futures_util::{
    StreamExt,
    stream::{self, FuturesUnordered},
  },
  http::{HeaderMap, StatusCode},
  http_body::Frame,
  http_body_util::{BodyExt, StreamBody},
  std::time::{Duration, Instant},
  support::{Pair, answer, call, head, within},
};

fn trailers(value: &str) -> HeaderMap {
  let mut trailers = HeaderMap::new();
  trailers.insert("x-sum", value.parse().unwrap());
  trailers
}

fn chunked_body(count: usize, len: usize, value: &str) -> cactusyoke_model::Body {
  let data =
    (0..count).map(move |n| Ok::<_, BodyError>(Frame::data(Bytes::from(vec![n as u8; len]))));
  let end = std::iter::once(Ok(Frame::trailers(trailers(value))));
  StreamBody::new(stream::iter(data.chain(end).collect::<Vec<_>>())).boxed_unsync()
}

/// Guards against head fields, body chunks or trailers that are lost or changed in transit.
#[tokio::test]
async fn heads_bodies_and_trailers_arrive_complete() {
  let mut pair = Pair::new().await;
  let pending = pair.start(call("/p?q=1", chunked_body(100, 10_000, "up")));
  let incoming = pair.next_call().await;
  assert_eq!(incoming.hop, Hop::Instance);
  assert_eq!(incoming.from.to_string(), "127.0.0.1:9");
  let (got, sent) = (incoming.call.head, head("/p?q=1"));
  assert_eq!(
    (got.root, got.route, got.service, got.method, got.path),
    (sent.root, sent.route, sent.service, sent.method, sent.path)
  );
  assert_eq!(
    (
      got.headers,
      got.priority,
      got.idempotent,
      got.key,
      got.retries
    ),
    (
      sent.headers,
      sent.priority,
      sent.idempotent,
      sent.key,
      sent.retries
    )
  );
  let remaining = got.deadline.saturating_duration_since(Instant::now());
  assert!(remaining > Duration::from_secs(5) && remaining <= Duration::from_secs(30));
  let body = within(incoming.call.body.collect()).await.unwrap();
  assert_eq!(body.trailers(), Some(&trailers("up")));
  assert_eq!(body.to_bytes().len(), 1_000_000);

  let answering = tokio::spawn(
    incoming
      .reply
      .answer(answer(chunked_body(50, 40_000, "down"))),
  );
  let got = within(pending).await.unwrap().unwrap();
  assert_eq!(got.status, StatusCode::OK);
  let body = within(got.body.collect()).await.unwrap();
  assert_eq!(body.trailers(), Some(&trailers("down")));
  let bytes = body.to_bytes();
  assert_eq!(bytes.len(), 2_000_000);
  assert!(
    bytes
      .chunks(40_000)
      .enumerate()
      .all(|(n, chunk)| chunk.iter().all(|b| *b == n as u8))
  );
  assert_eq!(within(answering).await.unwrap(), Ok(()));
  assert_eq!(pair.client.stats().in_flight(), 0);
  assert_eq!(pair.server.stats().in_flight(), 0);
}

/// Guards against a node that runs a call on its own instance when the call is to be relayed.
#[tokio::test]
async fn the_hop_arrives() {
  let mut pair = Pair::new().await;
  let (client, node) = (pair.client.clone(), pair.node);
  let pending = tokio::spawn(async move {
    client
      .call_with(node, call("/", empty_body()), Hop::Relay)
      .await
  });
  let incoming = pair.next_call().await;
  assert_eq!(incoming.hop, Hop::Relay);
  incoming.reply.answer(answer(empty_body())).await.unwrap();
  within(pending).await.unwrap().unwrap();
}

/// Guards against a refusal that loses its reason or the load report of the peer.
#[tokio::test]
async fn a_refusal_carries_the_failure_of_the_peer() {
  let mut pair = Pair::new().await;
  let failure = CallFailure::refused(
    NotRunReason::Shed,
    Report {
      level: Level(0x0203),
      load: InstanceLoad {
        outstanding: 9,
        queued: 4,
        queued_nested: 1,
        utilisation: 128,
        free_slots: 3,
        completion_interval: Duration::from_micros(7),
      },
      waited: Duration::from_millis(2),
      unused: Retries(2),
      bottleneck: cactusyoke_model::Bottleneck {
        service: 7,
        utilisation: 200,
        slot_time: Duration::from_millis(3),
      },
      paced: true,
    },
  );
  let pending = pair.start(call("/", full_body("x")));
  pair.next_call().await.reply.refuse(failure);
  assert_eq!(within(pending).await.unwrap().unwrap_err(), failure);
}

/// Guards against a call that hangs when the peer's handler ends without an outcome.
#[tokio::test]
async fn a_dropped_responder_makes_the_outcome_unknown() {
  let mut pair = Pair::new().await;
  let pending = pair.start(call("/", empty_body()));
  drop(pair.next_call().await);
  assert_eq!(
    within(pending).await.unwrap().unwrap_err(),
    CallFailure::unknown(UnknownReason::Connection)
  );
}

/// Guards against answers that reach the wrong call when they are sent in another order than the
/// calls.
#[tokio::test]
async fn answers_out_of_order_reach_their_calls() {
  let mut pair = Pair::new().await;
  let pending = (0..50)
    .map(|n| pair.start(call(&format!("/{n}"), empty_body())))
    .collect::<Vec<_>>();
  let mut incoming = Vec::new();
  for _ in 0..50 {
    incoming.push(pair.next_call().await);
  }
  for call in incoming.into_iter().rev() {
    let path = call.call.head.path.clone();
    call.reply.answer(answer(full_body(path))).await.unwrap();
  }
  for (n, pending) in pending.into_iter().enumerate() {
    let got = within(pending).await.unwrap().unwrap();
    let bytes = within(got.body.collect()).await.unwrap().to_bytes();
    assert_eq!(bytes, format!("/{n}"));
  }
}

/// Guards against a head that does not fit in a frame and closes the link, instead of failing only
/// its own call.
#[tokio::test]
async fn an_oversized_head_is_refused_and_the_link_remains() {
  let mut pair = Pair::new().await;
  let long = format!("/{}", "a".repeat(70_000));
  let failure = within(pair.start(call(&long, empty_body()))).await.unwrap();
  assert_eq!(
    failure.unwrap_err(),
    CallFailure::not_run(NotRunReason::Limit)
  );

  let pending = pair.start(call("/", empty_body()));
  let incoming = pair.next_call().await;
  let mut large = answer(empty_body());
  large
    .headers
    .insert("x", "b".repeat(70_000).parse().unwrap());
  assert_eq!(incoming.reply.answer(large).await, Err(BodyError::Length));
  assert_eq!(
    within(pending).await.unwrap().unwrap_err(),
    CallFailure::unknown(UnknownReason::BadAnswer)
  );
  let pending = pair.start(call("/", empty_body()));
  pair
    .next_call()
    .await
    .reply
    .answer(answer(empty_body()))
    .await
    .unwrap();
  within(pending).await.unwrap().unwrap();
  assert_eq!(pair.server.stats().links(), 1);
}

/// Guards against calls that queue without limit when the receiving node is busy: calls above
/// `max_streams` or the capacity of the channel are refused.
#[tokio::test]
async fn calls_beyond_the_bounds_are_refused() {
  let pair = Pair::with(1, |config| config.max_streams = 3).await;
  let calls = (0..6)
    .map(|_| pair.start(call("/", empty_body())))
    .collect::<Vec<_>>();
  let mut ended = FuturesUnordered::from_iter(calls);
  for _ in 0..5 {
    let outcome = within(ended.next()).await.unwrap().unwrap();
    assert_eq!(
      outcome.unwrap_err(),
      CallFailure::not_run(NotRunReason::Limit)
    );
  }
  assert_eq!(ended.len(), 1);
}
