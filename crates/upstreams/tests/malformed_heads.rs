//! Answers whose heads break the rules of HTTP, as a server in trouble may write them.

mod support;

use {
  cactusyoke_http::HeaderNames,
  cactusyoke_model::{CallFailure, UnknownReason},
  cactusyoke_upstreams::Upstream,
  http_body_util::BodyExt,
  std::{net::SocketAddr, time::Duration},
  support::{marking_names, named_upstream, raw_upstream, read_head, with_id},
  tokio::{
    io::AsyncWriteExt,
    time::{sleep, timeout},
  },
  yare::parameterized,
};

/// Time limit of one call.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Headers of an answer to the request `one` that is accepted; with `refusal`, those of a refusal.
fn headers(refusal: bool) -> &'static str {
  if refusal {
    "cactusyoke-request: one\r\nmark: 1\r\ncactusyoke-refused: 1\r\n"
  } else {
    "cactusyoke-request: one\r\nmark: 1\r\n"
  }
}

/// Upstream that writes these parts on its first connection, with a pause between them, and answers
/// every request on later ones. It keeps all connections open.
async fn upstream_writing(parts: Vec<Vec<u8>>) -> SocketAddr {
  raw_upstream(move |number, mut stream| {
    let parts = parts.clone();
    async move {
      read_head(&mut stream).await;
      if number == 0 {
        for part in parts {
          drop(stream.write_all(&part).await);
          sleep(Duration::from_millis(10)).await;
        }
      } else {
        let head = headers(false);
        let answer = format!("HTTP/1.1 200 OK\r\n{head}content-length: 5\r\n\r\nvalid");
        drop(stream.write_all(answer.as_bytes()).await);
      }
      sleep(CALL_LIMIT).await;
    }
  })
  .await
}

/// Sends one call, which must end with an unknown outcome, then one that a new connection serves.
async fn check_rejected(address: SocketAddr, names: &'static HeaderNames, case: &str) {
  let upstream = named_upstream(address, names);
  let failure = call(&upstream, names).await;
  let expected = Err(CallFailure::unknown(UnknownReason::BadAnswer));
  assert_eq!(failure, expected, "{case}");
  let next = call(&upstream, names).await;
  assert_eq!(next.as_deref(), Ok("valid"), "{case}");
}

/// Body of the answer to a call.
async fn call(upstream: &Upstream, names: &HeaderNames) -> Result<String, CallFailure> {
  let (call, context) = with_id("one", names);
  let answer = timeout(CALL_LIMIT, upstream.call(call, context)).await;
  let answer = answer.expect("the call ends")?;
  let body = timeout(CALL_LIMIT, answer.body.collect()).await;
  let body = body.expect("the body ends").expect("a whole body");
  Ok(String::from_utf8_lossy(&body.to_bytes()).into_owned())
}

/// Guards against a malformed answer that is passed on, that counts as a refusal, or whose connection
/// is used again. `HEADERS` stands for those of an answer that is accepted otherwise.
#[parameterized(
  status_000 = { "HTTP/1.1 000 OK\r\nHEADERScontent-length: 2\r\n\r\nok" },
  status_099 = { "HTTP/1.1 099 OK\r\nHEADERScontent-length: 2\r\n\r\nok" },
  status_600 = { "HTTP/1.1 600 OK\r\nHEADERScontent-length: 2\r\n\r\nok" },
  status_999 = { "HTTP/1.1 999 OK\r\nHEADERScontent-length: 2\r\n\r\nok" },
  status_of_two_digits = { "HTTP/1.1 20 OK\r\nHEADERScontent-length: 2\r\n\r\nok" },
  status_of_four_digits = { "HTTP/1.1 2000 OK\r\nHEADERScontent-length: 2\r\n\r\nok" },
  status_of_letters = { "HTTP/1.1 abc OK\r\nHEADERScontent-length: 2\r\n\r\nok" },
  switched_protocols = { "HTTP/1.1 101 OK\r\nHEADERSconnection: upgrade\r\nupgrade: x\r\n\r\nok" },
  version = { "HTTP/2.0 200 OK\r\nHEADERScontent-length: 2\r\n\r\nok" },
  blank_before_colon = { "HTTP/1.1 200 OK\r\nHEADERScontent-length : 2\r\n\r\nok" },
  tab_before_colon = { "HTTP/1.1 200 OK\r\nHEADERScontent-length\t: 2\r\n\r\nok" },
  blank_in_name = { "HTTP/1.1 200 OK\r\nHEADERSx y: 1\r\ncontent-length: 2\r\n\r\nok" },
  control_in_name = { "HTTP/1.1 200 OK\r\nHEADERSx\u{1}y: 1\r\ncontent-length: 2\r\n\r\nok" },
  delete_in_name = { "HTTP/1.1 200 OK\r\nHEADERSx\u{7f}y: 1\r\ncontent-length: 2\r\n\r\nok" },
  null_in_name = { "HTTP/1.1 200 OK\r\nHEADERSx\0y: 1\r\ncontent-length: 2\r\n\r\nok" },
  empty_name = { "HTTP/1.1 200 OK\r\nHEADERS: 1\r\ncontent-length: 2\r\n\r\nok" },
  no_colon = { "HTTP/1.1 200 OK\r\nHEADERSx\r\ncontent-length: 2\r\n\r\nok" },
  control_in_value = { "HTTP/1.1 200 OK\r\nHEADERSx: a\u{1}b\r\ncontent-length: 2\r\n\r\nok" },
  return_in_value = { "HTTP/1.1 200 OK\r\nHEADERSx: a\rb\r\ncontent-length: 2\r\n\r\nok" },
  folded_value = { "HTTP/1.1 200 OK\r\nHEADERSx: a\r\n b\r\ncontent-length: 2\r\n\r\nok" },
  folded_with_tab = { "HTTP/1.1 200 OK\r\nHEADERSx: a\r\n\tb: 1\r\ncontent-length: 2\r\n\r\nok" },
  folded_at_start = { "HTTP/1.1 200 OK\r\n x: a\r\nHEADERScontent-length: 2\r\n\r\nok" },
  two_lengths = {
    "HTTP/1.1 200 OK\r\nHEADERScontent-length: 2\r\ncontent-length: 3\r\n\r\nok"
  },
  two_lengths_in_one_line = { "HTTP/1.1 200 OK\r\nHEADERScontent-length: 2, 3\r\n\r\nok" },
  two_lengths_without_body = {
    "HTTP/1.1 204 None\r\nHEADERScontent-length: 0\r\ncontent-length: 3\r\n\r\n"
  },
  negative_length = { "HTTP/1.1 200 OK\r\nHEADERScontent-length: -2\r\n\r\nok" },
  signed_length = { "HTTP/1.1 200 OK\r\nHEADERScontent-length: +2\r\n\r\nok" },
  empty_length = { "HTTP/1.1 200 OK\r\nHEADERScontent-length: \r\n\r\nok" },
  length_over_64_bits = {
    "HTTP/1.1 200 OK\r\nHEADERScontent-length: 18446744073709551618\r\n\r\nok"
  },
  length_before_chunks = {
    "HTTP/1.1 200 OK\r\nHEADERScontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
  },
  length_after_chunks = {
    "HTTP/1.1 200 OK\r\nHEADERSTransfer-Encoding: chunked\r\nCONTENT-LENGTH: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n"
  },
  length_beside_chunks_after_interim = {
    "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\nHEADERScontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
  },
  other_coding = { "HTTP/1.1 200 OK\r\nHEADERStransfer-encoding: gzip\r\n\r\nok" },
  other_coding_before_chunks = {
    "HTTP/1.1 200 OK\r\nHEADERStransfer-encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
  },
  chunked_twice = {
    "HTTP/1.1 200 OK\r\nHEADERStransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
  },
  chunks_of_http_1_0 = {
    "HTTP/1.0 200 OK\r\nHEADERStransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
  },
)]
#[test_macro(tokio::test)]
async fn malformed_answers_are_rejected(answer: &'static str) {
  for names in [marking_names(), HeaderNames::native()] {
    for refusal in [false, true] {
      let answer = answer.replace("HEADERS", headers(refusal));
      for size in [answer.len(), 7] {
        let parts = answer.as_bytes().chunks(size).map(<[u8]>::to_vec);
        let address = upstream_writing(parts.collect()).await;
        let case = format!("refusal: {refusal}, written in parts of {size}");
        check_rejected(address, names, &case).await;
      }
    }
  }
}

/// Guards against a byte that no field name may hold and that the parser accepts at some position:
/// it reads long names in blocks whose size depends on the processor.
#[tokio::test]
async fn bytes_that_no_name_may_hold_are_rejected() {
  let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
  let names = marking_names();
  // A colon ends a name, and line ends are cases of their own.
  let rejected = |byte: &u8| !allowed(*byte) && !b":\r\n".contains(byte);
  for byte in (0..=u8::MAX).filter(rejected) {
    for position in [0, 1, 7, 8, 15, 16, 31, 32, 39] {
      let mut name = vec![b'x'; 40];
      name[position] = byte;
      let mut answer = b"HTTP/1.1 200 OK\r\n".to_vec();
      answer.extend_from_slice(headers(false).as_bytes());
      answer.extend_from_slice(&name);
      answer.extend_from_slice(b": 1\r\ncontent-length: 2\r\n\r\nok");
      let address = upstream_writing(vec![answer]).await;
      let upstream = named_upstream(address, names);
      let expected = Err(CallFailure::unknown(UnknownReason::BadAnswer));
      let got = call(&upstream, names).await;
      assert_eq!(got, expected, "byte {byte} at {position}");
    }
  }
}

/// Guards against an upstream that is taken for the answering one although its interim answers do not
/// end, and against rejecting the few that a server may send.
#[parameterized(few = { 8, true }, without_end = { 100_000, false })]
#[test_macro(tokio::test)]
async fn interim_answers_are_limited(count: usize, accepted: bool) {
  let names = marking_names();
  let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(count);
  let head = headers(false);
  let answer = format!("{interim}HTTP/1.1 200 OK\r\n{head}content-length: 2\r\n\r\nok");
  let address = upstream_writing(vec![answer.into_bytes()]).await;
  let got = call(&named_upstream(address, names), names).await;
  let expected = if accepted {
    Ok("ok".to_owned())
  } else {
    Err(CallFailure::unknown(UnknownReason::BadAnswer))
  };
  assert_eq!(got, expected);
}

/// Guards against trailers that are passed on, or that hide the end of a body, although they are
/// malformed.
#[parameterized(
  blank_in_name = { "x y: 1\r\n\r\n" },
  blank_before_colon = { "x : 1\r\n\r\n" },
  control_in_name = { "x\u{1}y: 1\r\n\r\n" },
  control_in_value = { "x: \u{1}\r\n\r\n" },
  folded = { "x: 1\r\n y\r\n\r\n" },
  no_colon = { "x\r\n\r\n" },
)]
#[test_macro(tokio::test)]
async fn malformed_trailers_cut_the_body(trailers: &'static str) {
  let names = marking_names();
  let head = headers(false);
  let answer = format!(
    "HTTP/1.1 200 OK\r\n{head}transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n{trailers}"
  );
  let address = upstream_writing(vec![answer.into_bytes()]).await;
  let upstream = named_upstream(address, names);
  let (first, context) = with_id("one", names);
  let answer = timeout(CALL_LIMIT, upstream.call(first, context)).await;
  let answer = answer.expect("the call ends").expect("a head");
  let body = timeout(CALL_LIMIT, answer.body.collect()).await;
  body
    .expect("the body ends")
    .expect_err("not a complete body");
  assert_eq!(call(&upstream, names).await.as_deref(), Ok("valid"));
}
