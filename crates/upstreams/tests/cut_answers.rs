//! Answers that end with a reset while, or just after, the request is written.

mod support;

use {
  bytes::Bytes,
  cactusyoke_http::HeaderNames,
  cactusyoke_model::{Body, BodyError, CallFailure},
  cactusyoke_upstreams::Upstream,
  futures_util::{StreamExt, stream},
  http::Method,
  http_body::Frame,
  http_body_util::{BodyExt, StreamBody},
  std::{net::SocketAddr, time::Duration},
  support::{marking_names, named_upstream, raw_upstream, read_head, reset, with_id},
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
  },
  yare::parameterized,
};

/// Time limit of one call.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Calls for each case: whether the reset is seen by a read or by a write depends on timing.
const CALLS: usize = 20;

/// Parts of an upload.
const PARTS: usize = 40;

/// Bytes of one part.
const PART_BYTES: usize = 32 * 1024;

/// How the caller sends the upload.
#[derive(Clone, Copy, Debug)]
enum Upload {
  /// Without a pause.
  Steady,
  /// With a pause after each part.
  Paced,
  /// One part, and then nothing more until long after the answer.
  Waiting,
}

impl Upload {
  fn body(self) -> Body {
    let parts = stream::iter(0..PARTS).then(move |number| async move {
      let pause = match self {
        Self::Steady => Duration::ZERO,
        Self::Paced => Duration::from_millis(2),
        Self::Waiting if number == 0 => Duration::ZERO,
        Self::Waiting => Duration::from_millis(100),
      };
      if !pause.is_zero() {
        sleep(pause).await;
      }
      Ok::<_, BodyError>(Frame::data(Bytes::from(vec![b'x'; PART_BYTES])))
    });
    StreamBody::new(parts).boxed_unsync()
  }
}

/// When and how the upstream ends the connection.
#[derive(Clone, Copy, Debug)]
enum End {
  /// With a reset, at once.
  Reset,
  /// By closing the socket with the upload unread, which resets the connection.
  Close,
  /// In order, after it has read what has arrived of the upload.
  CloseRead,
  /// With a reset, after it has read a part of the upload.
  ResetWithin,
  /// With a reset, after it has read the whole upload.
  ResetAfter,
}

impl End {
  /// Answers and ends the connection.
  async fn run(self, mut stream: TcpStream, answer: &str) {
    if matches!(self, Self::ResetAfter) {
      read_upload(&mut stream, PARTS * PART_BYTES).await;
    }
    drop(stream.write_all(answer.as_bytes()).await);
    match self {
      Self::Reset => reset(stream),
      Self::Close => drop(stream),
      Self::CloseRead => {
        read_arrived(&mut stream).await;
        drop(stream);
      }
      Self::ResetWithin => {
        read_upload(&mut stream, PART_BYTES / 2).await;
        reset(stream);
      }
      Self::ResetAfter => {
        // The client has read the answer by then, and waits for its end.
        sleep(Duration::from_millis(5)).await;
        reset(stream);
      }
    }
  }
}

/// Reads at least `length` bytes of an upload in chunks.
async fn read_upload(stream: &mut TcpStream, length: usize) {
  let mut buffer = vec![0; PART_BYTES];
  let mut left = length;
  while left > 0 {
    match stream.read(&mut buffer).await {
      Ok(count) if count > 0 => left = left.saturating_sub(count),
      Ok(_) | Err(_) => return,
    }
  }
}

/// Reads until nothing more arrives.
async fn read_arrived(stream: &mut TcpStream) {
  let mut buffer = vec![0; PART_BYTES];
  let pause = Duration::from_millis(20);
  while let Ok(Ok(1..)) = timeout(pause, stream.read(&mut buffer)).await {}
}

async fn upstream_ending(end: End, answer: String) -> SocketAddr {
  raw_upstream(move |_number, mut stream| {
    let answer = answer.clone();
    async move {
      read_head(&mut stream).await;
      end.run(stream, &answer).await;
    }
  })
  .await
}

/// Why an upload has no complete answer.
#[derive(Debug)]
enum Failure {
  Call(CallFailure),
  Body(BodyError),
}

/// Body of the answer to an upload.
async fn upload(
  upstream: &Upstream,
  upload: Upload,
  names: &HeaderNames,
) -> Result<Bytes, Failure> {
  let (mut call, context) = with_id("one", names);
  call.head.method = Method::POST;
  call.body = upload.body();
  let answer = timeout(CALL_LIMIT, upstream.call(call, context)).await;
  let answer = answer.expect("the call ends").map_err(Failure::Call)?;
  let body = timeout(CALL_LIMIT, answer.body.collect()).await;
  let body = body.expect("the body ends").map_err(Failure::Body)?;
  Ok(body.to_bytes())
}

const SUCCESS: &str = "HTTP/1.1 200 OK\r\ncactusyoke-request: one\r\nmark: 1\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 Error\r\ncactusyoke-request: one\r\n\r\n";
const REFUSAL: &str =
  "HTTP/1.1 503 Busy\r\ncactusyoke-request: one\r\ncactusyoke-refused: 1\r\n\r\n";

/// Guards against an answer that looks complete, or counts as a refusal, although the connection was
/// reset within its body. A write that fails takes the error of the connection from the socket, so
/// that a later read sees an orderly end.
#[parameterized(
  reset_at_once = { Upload::Steady, End::Reset, SUCCESS },
  closed_unread = { Upload::Steady, End::Close, SUCCESS },
  reset_within = { Upload::Steady, End::ResetWithin, SUCCESS },
  reset_after = { Upload::Steady, End::ResetAfter, SUCCESS },
  paced_reset_at_once = { Upload::Paced, End::Reset, SUCCESS },
  paced_closed_unread = { Upload::Paced, End::Close, SUCCESS },
  paced_reset_within = { Upload::Paced, End::ResetWithin, SUCCESS },
  waiting_reset_at_once = { Upload::Waiting, End::Reset, SUCCESS },
  waiting_closed = { Upload::Waiting, End::Close, SUCCESS },
  waiting_closed_read = { Upload::Waiting, End::CloseRead, SUCCESS },
  error_reset_at_once = { Upload::Steady, End::Reset, ERROR },
  error_closed_unread = { Upload::Paced, End::Close, ERROR },
  refusal_reset_at_once = { Upload::Steady, End::Reset, REFUSAL },
  refusal_closed_unread = { Upload::Paced, End::Close, REFUSAL },
  refusal_reset_after = { Upload::Steady, End::ResetAfter, REFUSAL },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn an_answer_without_length_that_ends_with_a_reset_is_not_complete(
  sent: Upload,
  end: End,
  head: &'static str,
) {
  let names = marking_names();
  let address = upstream_ending(end, format!("{head}a part of the body")).await;
  for number in 0..CALLS {
    let upstream = named_upstream(address, names);
    match upload(&upstream, sent, names).await {
      Ok(body) => panic!("call {number}: {body:?} was taken for a complete body"),
      Err(Failure::Call(CallFailure::NotRun { reason, .. })) => {
        panic!("call {number}: not run ({reason})")
      }
      Err(Failure::Call(CallFailure::Unknown { .. })) => {}
      Err(Failure::Body(error)) => assert_eq!(error, BodyError::ConnectionLost),
    }
  }
}

/// Guards against losing a complete answer that came before the upstream had read the request.
#[parameterized(
  length = { Upload::Steady, End::Reset, "content-length: 2\r\n\r\nok" },
  length_closed = { Upload::Steady, End::Close, "content-length: 2\r\n\r\nok" },
  length_within = { Upload::Paced, End::ResetWithin, "content-length: 2\r\n\r\nok" },
  length_waiting = { Upload::Waiting, End::Reset, "content-length: 2\r\n\r\nok" },
  chunks = { Upload::Steady, End::Reset, "transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" },
  chunks_closed = {
    Upload::Paced, End::Close, "transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
  },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_complete_early_answer_is_received(sent: Upload, end: End, framing: &'static str) {
  let names = marking_names();
  let head = "HTTP/1.1 200 OK\r\ncactusyoke-request: one\r\nmark: 1\r\n";
  let address = upstream_ending(end, format!("{head}{framing}")).await;
  for number in 0..CALLS {
    let upstream = named_upstream(address, names);
    match upload(&upstream, sent, names).await {
      Ok(body) => assert_eq!(body, "ok"),
      // A reset that arrives before the client has read anything leaves no answer.
      Err(failure) => panic!("call {number}: {failure:?}"),
    }
  }
}

/// Guards against rejecting an answer that ends with its connection, in order and after the whole
/// request was sent.
#[parameterized(
  without_body = { 0 },
  with_body = { PARTS },
)]
#[test_macro(tokio::test)]
async fn an_answer_that_ends_with_its_connection_is_complete(parts: usize) {
  let names = marking_names();
  let address = raw_upstream(move |_number, mut stream| async move {
    read_head(&mut stream).await;
    read_upload(&mut stream, parts * PART_BYTES).await;
    let mut rest = [0; 64];
    if parts > 0 {
      // The end of the last chunk and the end of the chunks.
      drop(timeout(Duration::from_millis(50), stream.read(&mut rest)).await);
    }
    drop(stream.write_all(format!("{SUCCESS}ok").as_bytes()).await);
  })
  .await;
  let upstream = named_upstream(address, names);
  let (mut call, context) = with_id("one", names);
  if parts > 0 {
    call.head.method = Method::POST;
    call.body = Upload::Steady.body();
  }
  let answer = upstream.call(call, context).await.expect("an answer");
  let body = answer.body.collect().await.expect("a whole body");
  assert_eq!(body.to_bytes(), "ok");
}
