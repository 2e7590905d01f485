//! Flow control, cancellation, control messages and shutdown.

mod support;

use {
  bytes::Bytes,
  cactusyoke_model::{BodyError, CallFailure, NotRunReason, empty_body, full_body},
  cactusyoke_nodes::{ControlError, Incoming, MAX_CONTROL_MESSAGE},
  futures_util::stream,
  http_body::Frame,
  http_body_util::{BodyExt, StreamBody},
  std::{
    sync::{
      Arc,
      atomic::{AtomicUsize, Ordering::SeqCst},
    },
    time::Duration,
  },
  support::{Pair, answer, call, within},
};

const CHUNK: usize = 16 * 1024;
/// Initial credit of [`cactusyoke_nodes::LinksConfig::new`].
const WINDOW: usize = 256 * 1024;

/// Body of `count` chunks that adds up the bytes it has produced.
fn counted_body(count: usize, produced: &Arc<AtomicUsize>) -> cactusyoke_model::Body {
  let produced = Arc::clone(produced);
  StreamBody::new(stream::iter((0..count).map(move |_| {
    produced.fetch_add(CHUNK, SeqCst);
    Ok::<_, BodyError>(Frame::data(Bytes::from(vec![1; CHUNK])))
  })))
  .boxed_unsync()
}

/// Guards against a large body that is fully buffered or delays small calls: the large answer
/// waits for its credit while small calls complete.
#[tokio::test]
async fn a_large_body_waits_for_credit_and_small_calls_pass() {
  let mut pair = Pair::new().await;
  let produced = Arc::new(AtomicUsize::new(0));
  let large = pair.start(call("/large", empty_body()));
  let incoming = pair.next_call().await;
  let answering = tokio::spawn(incoming.reply.answer(answer(counted_body(4096, &produced))));
  let large = within(large).await.unwrap().unwrap();
  for _ in 0..100 {
    let small = pair.start(call("/small", full_body("x")));
    let incoming = pair.next_call().await;
    incoming.reply.answer(answer(full_body("y"))).await.unwrap();
    let got = within(small).await.unwrap().unwrap();
    assert_eq!(within(got.body.collect()).await.unwrap().to_bytes(), "y");
  }
  assert!(produced.load(SeqCst) <= WINDOW + 2 * CHUNK, "{produced:?}");
  let bytes = within(large.body.collect()).await.unwrap().to_bytes();
  assert_eq!(bytes.len(), 4096 * CHUNK);
  assert_eq!(within(answering).await.unwrap(), Ok(()));
}

/// Guards against an upload that delays small calls or is fully buffered by the receiving node.
#[tokio::test]
async fn a_large_upload_waits_for_its_reader() {
  let mut pair = Pair::new().await;
  let produced = Arc::new(AtomicUsize::new(0));
  let upload = pair.start(call("/upload", counted_body(1024, &produced)));
  let incoming_upload = pair.next_call().await;
  let small = pair.start(call("/small", empty_body()));
  pair
    .next_call()
    .await
    .reply
    .answer(answer(empty_body()))
    .await
    .unwrap();
  within(small).await.unwrap().unwrap();
  assert!(produced.load(SeqCst) <= WINDOW + 2 * CHUNK, "{produced:?}");
  let bytes = within(incoming_upload.call.body.collect())
    .await
    .unwrap()
    .to_bytes();
  assert_eq!(bytes.len(), 1024 * CHUNK);
  incoming_upload
    .reply
    .answer(answer(empty_body()))
    .await
    .unwrap();
  within(upload).await.unwrap().unwrap();
}

/// Guards against an answer that waits for an upload that is not read, and against an upload that
/// continues after its answer.
#[tokio::test]
async fn an_early_answer_ends_the_upload() {
  let mut pair = Pair::new().await;
  let produced = Arc::new(AtomicUsize::new(0));
  let upload = pair.start(call("/upload", counted_body(1024, &produced)));
  let incoming = pair.next_call().await;
  drop(incoming.call);
  incoming
    .reply
    .answer(answer(full_body("no")))
    .await
    .unwrap();
  let got = within(upload).await.unwrap().unwrap();
  assert_eq!(within(got.body.collect()).await.unwrap().to_bytes(), "no");
  assert!(produced.load(SeqCst) <= WINDOW + 2 * CHUNK, "{produced:?}");
  assert_eq!(pair.client.stats().in_flight(), 0);
}

/// Guards against a call that continues to run after its caller has cancelled it.
#[tokio::test]
async fn cancellation_reaches_the_other_side() {
  let mut pair = Pair::new().await;
  let pending = pair.start(call("/", empty_body()));
  let incoming = pair.next_call().await;
  assert!(!incoming.cancelled.is_cancelled());
  pending.abort();
  within(incoming.cancelled.cancelled()).await;
  assert_eq!(
    incoming.reply.answer(answer(empty_body())).await,
    Err(BodyError::Cancelled)
  );

  let pending = pair.start(call("/", empty_body()));
  let incoming = pair.next_call().await;
  let cancelled = incoming.cancelled.clone();
  let produced = Arc::new(AtomicUsize::new(0));
  let answering = tokio::spawn(incoming.reply.answer(answer(counted_body(4096, &produced))));
  drop(within(pending).await.unwrap().unwrap().body);
  within(cancelled.cancelled()).await;
  assert_eq!(within(answering).await.unwrap(), Err(BodyError::Cancelled));
  assert_eq!(pair.server.stats().in_flight(), 0);
}

/// Guards against control messages that are truncated, mixed up, or larger than the limit.
#[tokio::test]
async fn control_messages_of_all_sizes_get_their_replies() {
  let mut pair = Pair::new().await;
  let (client, node) = (pair.client.clone(), pair.node);
  let requests = [0, 1, 5_000, 40_000, MAX_CONTROL_MESSAGE].map(|len| {
    let client = client.clone();
    let body = Bytes::from(vec![len as u8; len]);
    tokio::spawn(async move {
      client
        .send_control(node, body, Duration::from_secs(10))
        .await
    })
  });
  for _ in 0..requests.len() {
    match pair.next().await {
      Incoming::Control(request) => request.reply.reply(request.body),
      Incoming::Call(call) => panic!("{call:?}"),
    }
  }
  for (request, len) in requests
    .into_iter()
    .zip([0, 1, 5_000, 40_000, MAX_CONTROL_MESSAGE])
  {
    let reply = within(request).await.unwrap().unwrap();
    assert_eq!(reply, vec![len as u8; len]);
  }
  let large = client.send_control(
    node,
    Bytes::from(vec![0; MAX_CONTROL_MESSAGE + 1]),
    Duration::from_secs(1),
  );
  let error = large.await.unwrap_err();
  assert_eq!(
    error.to_string(),
    "the control message has 1048577 bytes, more than 1048576: split it"
  );
  assert!(pair.client.stats().control_out() > MAX_CONTROL_MESSAGE as u64);
  assert!(pair.client.stats().control_in() > MAX_CONTROL_MESSAGE as u64);
  assert_eq!(pair.client.stats().in_flight(), 0);
}

/// Guards against a sender that waits forever when its control message is declined or not answered.
#[tokio::test]
async fn a_declined_or_unanswered_message_fails() {
  let mut pair = Pair::new().await;
  let (client, node) = (pair.client.clone(), pair.node);
  let declined = {
    let client = client.clone();
    tokio::spawn(async move {
      client
        .send_control(node, Bytes::new(), Duration::from_secs(10))
        .await
    })
  };
  drop(pair.next().await);
  assert_eq!(
    within(declined).await.unwrap(),
    Err(ControlError::Declined { node })
  );
  let after = Duration::from_millis(50);
  let unanswered =
    tokio::spawn(async move { client.send_control(node, Bytes::new(), after).await });
  let _unreplied = pair.next().await;
  assert_eq!(
    within(unanswered).await.unwrap(),
    Err(ControlError::Timeout { node, after })
  );
  assert_eq!(pair.client.stats().in_flight(), 0);
}

/// Guards against a shutdown that cuts off a call in flight or accepts new calls.
#[tokio::test]
async fn shutdown_finishes_the_calls_in_flight() {
  let mut pair = Pair::new().await;
  let produced = Arc::new(AtomicUsize::new(0));
  let pending = pair.start(call("/", empty_body()));
  let incoming = pair.next_call().await;
  pair.shutdown.cancel();
  loop {
    let refused = within(pair.start(call("/", empty_body())));
    tokio::select! {
      late = refused => {
        let failure = late.unwrap().unwrap_err();
        assert_eq!(failure, CallFailure::not_run(NotRunReason::Draining));
        break;
      }
      // Arrived before the link noticed the shutdown.
      early = pair.incoming.recv() => drop(early),
    }
  }
  assert!(!pair.listening.is_finished());
  let answering = tokio::spawn(incoming.reply.answer(answer(counted_body(64, &produced))));
  let got = within(pending).await.unwrap().unwrap();
  let bytes = within(got.body.collect()).await.unwrap().to_bytes();
  assert_eq!(bytes.len(), 64 * CHUNK);
  assert_eq!(within(answering).await.unwrap(), Ok(()));
  within(pair.listening).await.unwrap();
  let failure = within(pair.client.call(pair.node, call("/", empty_body()))).await;
  assert_eq!(
    failure.unwrap_err(),
    CallFailure::not_run(NotRunReason::Connection)
  );
}

/// Guards against unused links that stay open.
#[tokio::test]
async fn an_idle_link_is_closed_and_opened_again() {
  let mut pair = Pair::with(8, |config| {
    config.heartbeat_interval = Duration::from_millis(20);
    config.idle_timeout = Duration::from_millis(60);
  })
  .await;
  for _ in 0..2 {
    let pending = pair.start(call("/", empty_body()));
    let incoming = pair.next_call().await;
    assert_eq!(pair.server.stats().links(), 1);
    incoming.reply.answer(answer(empty_body())).await.unwrap();
    within(pending).await.unwrap().unwrap();
    within(async {
      while pair.server.stats().links() + pair.client.stats().links() > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
      }
    })
    .await;
  }
}
