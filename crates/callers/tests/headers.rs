//! Headers of requests and answers.

mod support;

use {
  cactusyoke_callers::{CallerRequest, Limits},
  cactusyoke_model::Context,
  http::{HeaderMap, HeaderValue},
  std::sync::{Arc, Mutex},
  support::{Listener, text_answer},
  yare::parameterized,
};

type Seen = Arc<Mutex<Vec<CallerRequest>>>;

/// Listener that records its requests.
async fn recording_listener() -> (Listener, Seen) {
  let seen = Seen::default();
  let record = Arc::clone(&seen);
  let listener = Listener::start(Limits::default(), move |request| {
    record.lock().expect("not poisoned").push(request);
    async {
      let mut answer = text_answer("ok");
      let headers = [
        ("connection", "x-private"),
        ("x-private", "1"),
        ("keep-alive", "timeout=5"),
        ("x-public", "2"),
        ("cactusyoke-outcome", "not-run"),
        ("cactusyoke-reason", "shed"),
      ];
      answer.headers = headers
        .into_iter()
        .map(|(name, value)| {
          (
            name.parse().expect("valid"),
            HeaderValue::from_static(value),
          )
        })
        .collect::<HeaderMap>();
      Ok(answer)
    }
  })
  .await;
  (listener, seen)
}

/// Guards against hop-by-hop headers that are forwarded, and against an upstream that sets the
/// headers of the outcome itself.
#[tokio::test]
async fn hop_headers_are_removed_both_ways() {
  let (listener, seen) = recording_listener().await;
  let response = listener
    .send_raw(
      "POST /a?b=c HTTP/1.1\r\nhost: x\r\nconnection: close, x-hop, content-length\r\n\
      keep-alive: 1\r\nx-hop: 1\r\nx-end: 2\r\nte: gzip, trailers\r\nupgrade: h2c\r\n\
      proxy-connection: x\r\nproxy-authorization: x\r\ncontent-length: 0\r\n\r\n",
    )
    .await;
  let seen = seen.lock().expect("not poisoned");
  let [request] = seen.as_slice() else {
    panic!("one request expected");
  };
  assert_eq!(request.path, "/a?b=c");
  let mut names = request
    .headers
    .iter()
    .map(|(name, value)| format!("{name}: {}", value.to_str().expect("text")))
    .collect::<Vec<String>>();
  names.sort();
  let expected = ["content-length: 0", "host: x", "te: trailers", "x-end: 2"];
  assert_eq!(names, expected);
  assert!(response.contains("x-public: 2\r\n"), "{response}");
  assert!(response.contains("cactusyoke-outcome: answered\r\n"));
  for absent in ["x-private", "keep-alive", "cactusyoke-reason", "not-run"] {
    assert!(!response.contains(absent), "{absent} in {response}");
  }
}

/// Guards against request smuggling: the next hop may frame a request by a `content-length` that
/// was sent beside `transfer-encoding`.
#[tokio::test]
async fn length_beside_chunked_framing_is_not_forwarded() {
  let (listener, seen) = recording_listener().await;
  listener
    .send_raw(
      "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 3\r\n\
      transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    )
    .await;
  for request in seen.lock().expect("not poisoned").iter() {
    assert!(!request.headers.contains_key("content-length"));
    assert!(!request.headers.contains_key("transfer-encoding"));
  }
}

/// Guards against a key or context that is lost, and against a context that stays among the
/// headers.
#[tokio::test]
async fn key_and_context_are_read() {
  let (listener, seen) = recording_listener().await;
  let context = "1;0000000000000000000000000000000a;000000000000000b;0102;250;3";
  listener
    .send_raw(&format!(
      "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\nidempotency-key: boston/42\r\n\
      cactusyoke-context: {context}\r\ncontent-length: 0\r\n\r\n",
    ))
    .await;
  let seen = seen.lock().expect("not poisoned");
  let [request] = seen.as_slice() else {
    panic!("one request expected");
  };
  let key = request.key.as_ref().expect("a key");
  assert_eq!(key.as_str(), "boston/42");
  let expected = context.parse::<Context>().expect("valid");
  assert_eq!(request.context, Some(expected));
  assert!(!request.headers.contains_key("cactusyoke-context"));
}

/// Guards against malformed headers that reach the handler, and against refusals that do not say
/// what to change.
#[parameterized(
  empty_key = {
    "idempotency-key: ", 400,
    "the idempotency key is not usable: send 1 to 128 visible ASCII characters",
  },
  space_in_key = {
    "idempotency-key: a b", 400,
    "the idempotency key is not usable: send 1 to 128 visible ASCII characters",
  },
  two_keys = {
    "idempotency-key: a\r\nidempotency-key: b", 400,
    "the `idempotency-key` header is repeated: send it once",
  },
  context = {
    "cactusyoke-context: 1;zz", 400,
    "the `cactusyoke-context` header cannot be read: copy it unchanged from the request that the upstream is running, or leave it out",
  },
  two_contexts = {
    "cactusyoke-context: 1;a;b;1;1;1\r\ncactusyoke-context: 1;a;b;1;1;1", 400,
    "the `cactusyoke-context` header cannot be read: copy it unchanged from the request that the upstream is running, or leave it out",
  },
)]
#[test_macro(tokio::test)]
async fn bad_headers_are_refused(header: &str, status: u16, line: &str) {
  let (listener, seen) = recording_listener().await;
  let response = listener
    .send_raw(&format!(
      "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{header}\r\n\r\n"
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
    response.contains("cactusyoke-reason: bad-request\r\n"),
    "{response}"
  );
  assert!(
    response.ends_with(&format!("\r\n\r\nnot run (bad-request): {line}\n")),
    "{response}"
  );
  assert_eq!(seen.lock().expect("not poisoned").len(), 0);
}

/// Guards against versions and methods whose answers cannot be framed safely.
#[parameterized(
  version = { "GET / HTTP/1.0\r\n\r\n", "HTTP/1.0 505 ", "the listener speaks HTTP/1.1 only" },
  connect = {
    "CONNECT a:1 HTTP/1.1\r\nhost: a:1\r\nconnection: close\r\n\r\n", "HTTP/1.1 405 ",
    "the method `CONNECT` is not supported",
  },
)]
#[test_macro(tokio::test)]
async fn unsupported_requests_are_refused(request: &str, status: &str, line: &str) {
  let (listener, seen) = recording_listener().await;
  let response = listener.send_raw(request).await;
  assert!(response.starts_with(status), "{response}");
  assert!(response.contains(line), "{response}");
  assert_eq!(seen.lock().expect("not poisoned").len(), 0);
}
