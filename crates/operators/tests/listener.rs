//! The operator listener over plain sockets: routes, token and limits.

mod support;

use {
  cactusyoke_operators::OperatorLimits,
  std::time::Duration,
  support::{Server, TOKEN, status},
  tokio::time::{Instant, sleep, timeout},
  yare::parameterized,
};

fn request(method: &str, path: &str, token: &str, body: &str) -> String {
  let length = body.len();
  format!(
    "{method} {path} HTTP/1.1\r\nhost: n\r\nconnection: close\r\nauthorization: Bearer {token}\r\ncontent-length: {length}\r\n\r\n{body}"
  )
}

fn use_preset(preset: &str) -> String {
  let body = format!(r#"{{"id":"1","preset":"{preset}","operator":"ana","based_on":1}}"#);
  request("POST", "/preset/use", TOKEN, &body)
}

/// Guards against requests that are answered with another status than documented.
#[parameterized(
  health = { "GET", "/healthz", "", 200 },
  ready = { "GET", "/readyz", "", 200 },
  node_status = { "GET", "/status", "", 200 },
  config = { "GET", "/config", "", 200 },
  presets = { "GET", "/preset", "", 200 },
  preset = { "GET", "/preset/peak", "", 200 },
  no_preset = { "GET", "/preset/none", "", 404 },
  bad_name = { "GET", "/preset/Bad", "", 400 },
  audit = { "GET", "/audit?since=2026-01-31T08:00:00Z&preset=peak&operator=ana%20b&limit=3", "", 200 },
  bad_audit = { "GET", "/audit?since=yesterday", "", 400 },
  metrics = { "GET", "/metrics", "", 200 },
  quarantine = { "GET", "/quarantine", "", 200 },
  drain = { "POST", "/drain", r#"{"operator":"ana"}"#, 200 },
  undrain = { "POST", "/undrain", r#"{"operator":"ana","reason":"r"}"#, 200 },
  release = { "DELETE", "/quarantine/f00d", r#"{"operator":"ana"}"#, 200 },
  no_release = { "DELETE", "/quarantine/beef", r#"{"operator":"ana"}"#, 404 },
  bad_body = { "POST", "/drain", "operator=ana", 400 },
  unknown_field = { "POST", "/drain", r#"{"operator":"ana","why":"r"}"#, 400 },
  unknown_path = { "GET", "/nothing", "", 404 },
  unknown_change = { "POST", "/status", "", 404 },
  unknown_method = { "PATCH", "/preset/peak", "", 404 },
)]
#[test_macro(tokio::test)]
async fn answers_with_the_documented_status(method: &str, path: &str, body: &str, expected: u16) {
  let server = Server::start(OperatorLimits::default()).await;
  let answer = server.send(&request(method, path, TOKEN, body)).await;
  assert_eq!(status(&answer), expected, "{answer}");
}

/// Guards against a refused change that clients cannot tell from one whose outcome is unknown.
#[parameterized(
  done = { "peak", 200 },
  conflict = { "conflict", 409 },
  down = { "down", 503 },
  doubt = { "doubt", 504 },
)]
#[test_macro(tokio::test)]
async fn each_outcome_of_a_change_has_its_status(preset: &str, expected: u16) {
  let server = Server::start(OperatorLimits::default()).await;
  let answer = server.send(&use_preset(preset)).await;
  assert_eq!(status(&answer), expected, "{answer}");
}

/// Guards against changes without the token, with a part of it, or with another one.
#[parameterized(
  missing = { "" },
  prefix = { "0123456789abcde" },
  longer = { "0123456789abcdef0" },
  other = { "fedcba9876543210" },
)]
#[test_macro(tokio::test)]
async fn changes_need_the_whole_token(token: &str) {
  let server = Server::start(OperatorLimits::default()).await;
  for (method, path) in [
    ("POST", "/drain"),
    ("POST", "/preset/use"),
    ("PUT", "/preset/peak"),
    ("DELETE", "/quarantine/f00d"),
  ] {
    let answer = server.send(&request(method, path, token, "{}")).await;
    assert_eq!(status(&answer), 401, "{answer}");
  }
  assert_eq!(server.node.changes(), 0);
}

/// Guards against a preset that is stored although the path names another one.
#[tokio::test]
async fn path_and_body_name_the_same_preset() {
  let server = Server::start(OperatorLimits::default()).await;
  let body = r#"{"id":"1","operator":"ana","based_on":1,
    "preset":{"name":"quiet","classes":["orders"],"routes":[]}}"#;
  let answer = server
    .send(&request("PUT", "/preset/peak", TOKEN, body))
    .await;
  assert_eq!(status(&answer), 400);
  let message = "the path names preset `peak` and the body `quiet`: use one name";
  assert!(answer.contains(message), "{answer}");
  let right = request("PUT", "/preset/quiet", TOKEN, body);
  assert_eq!(status(&server.send(&right).await), 200);
}

/// Guards against bodies and heads that fill the memory.
#[tokio::test]
async fn large_requests_are_refused() {
  let limits = OperatorLimits {
    body_bytes: 100,
    ..OperatorLimits::default()
  };
  let server = Server::start(limits).await;
  let body = format!(r#"{{"operator":"{}"}}"#, "x".repeat(200));
  let answer = server.send(&request("POST", "/drain", TOKEN, &body)).await;
  assert_eq!(status(&answer), 400);
  assert!(answer.contains("send at most 100 bytes"), "{answer}");
  let long = "x".repeat(20_000);
  let head = format!("GET /status HTTP/1.1\r\nhost: n\r\nx: {long}\r\n\r\n");
  assert_eq!(status(&server.send(&head).await), 431);
  assert_eq!(server.node.changes(), 0);
}

/// Guards against silent connections that keep others out for ever or take every file descriptor.
#[tokio::test]
async fn connections_are_bounded_in_number_and_time() {
  let limits = OperatorLimits {
    connections: 2,
    header_time: Duration::from_secs(1),
    ..OperatorLimits::default()
  };
  let server = Server::start(limits).await;
  let silent = [server.connect().await, server.connect().await];
  sleep(Duration::from_millis(50)).await;
  let health = request("GET", "/healthz", "", "");
  assert_eq!(server.send(&health).await, "");
  let freed = async {
    while server.send(&health).await.is_empty() {
      sleep(Duration::from_millis(50)).await;
    }
  };
  timeout(Duration::from_secs(5), freed).await.unwrap();
  drop(silent);
}

/// Guards against a request that is cut off by a shutdown, and a shutdown that never ends.
#[tokio::test]
async fn shutdown_finishes_requests() {
  let server = Server::start(OperatorLimits::default()).await;
  let slow = use_preset("slow");
  let (answer, ()) = tokio::join!(server.send(&slow), async {
    sleep(Duration::from_millis(50)).await;
    server.shutdown.cancel();
  });
  assert_eq!(status(&answer), 200);
  let start = Instant::now();
  let ended = timeout(Duration::from_secs(2), server.task).await;
  ended.unwrap().unwrap();
  assert!(start.elapsed() < Duration::from_secs(1));
}

/// Guards against a draining node that a load balancer keeps sending calls to, or that looks
/// crashed.
#[tokio::test]
async fn a_draining_node_is_healthy_and_not_ready() {
  let server = Server::start(OperatorLimits::default()).await;
  let drain = request("POST", "/drain", TOKEN, r#"{"operator":"ana"}"#);
  server.send(&drain).await;
  for (path, expected) in [("/readyz", 503), ("/healthz", 200)] {
    let answer = server.send(&request("GET", path, "", "")).await;
    assert_eq!(status(&answer), expected, "{answer}");
  }
}
