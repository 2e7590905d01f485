//! Listener for the upstream's outgoing calls.

mod support;

use {
  cactusyoke_callers::{CallHandler, CallerRequest, Limits},
  cactusyoke_model::{Answer, CallFailure, Context, NotRunReason, Report, full_body},
  cactusyoke_standins::upstream::{ChildCall, Config, TAG_HEADER, Upstream},
  cactusyoke_upstreams::{LoopbackError, egress},
  http::{HeaderMap, Method, StatusCode},
  std::sync::{Arc, Mutex},
  support::{Node, client, service, serving},
  tokio::net::TcpListener,
  tokio_util::sync::CancellationToken,
};

/// Records contexts, and answers or refuses by path.
#[derive(Debug, Default)]
struct Record(Mutex<Vec<Option<Context>>>);

impl CallHandler for Record {
  async fn handle(&self, request: CallerRequest) -> Result<Answer, CallFailure> {
    self.0.lock().expect("not poisoned").push(request.context);
    if request.path == "/refused" {
      return Err(CallFailure::not_run(NotRunReason::NoRetries));
    }
    Ok(Answer {
      status: StatusCode::OK,
      headers: HeaderMap::new(),
      report: Report::IDLE,
      body: full_body("child"),
    })
  }
}

/// Guards against calls of the upstream that lose their place in the call tree, and against a
/// failed call that the upstream's request hides.
#[tokio::test]
async fn context_reaches_the_calls_of_the_upstream() {
  let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
  let address = listener.local_addr().expect("a bound address");
  let shutdown = CancellationToken::new();
  let record = Arc::new(Record::default());
  let handler = Arc::clone(&record);
  let served = tokio::spawn(egress::serve(
    listener,
    handler,
    Limits::default(),
    None,
    shutdown.clone(),
  ));
  let child = |parent: &str, path: &str| ChildCall {
    parent: parent.to_owned(),
    method: Method::GET,
    path: path.to_owned(),
  };
  let upstream = Upstream::start(Config {
    egress: Some(address),
    children: vec![child("/map", "/parcels"), child("/refused", "/refused")],
    ..Config::new(service())
  })
  .await
  .expect("the stand-in starts");
  let (config, _crashes) = client(serving(upstream.address(), 10));
  let node = Node::forward(config).await;
  let received = node.get("/map/7").await.expect("an answer");
  assert_eq!(received.status, 200);
  let received = node.get("/refused").await.expect("an answer");
  assert_eq!(received.status, 502);
  let received = node.get("/alone").await.expect("an answer");
  assert_eq!(received.status, 200);
  let contexts = record.0.lock().expect("not poisoned").clone();
  let [Some(first), Some(second)] = contexts.as_slice() else {
    panic!("two calls with a context expected, not {contexts:?}");
  };
  assert_ne!(first.span, second.span);
  shutdown.cancel();
  served.await.expect("no panic").expect("a loopback address");
}

/// Guards against an egress listener that other machines reach.
#[tokio::test]
async fn listener_must_be_loopback() {
  let listener = TcpListener::bind("0.0.0.0:0").await.expect("a free port");
  let record = Arc::new(Record::default());
  let served = egress::serve(
    listener,
    record,
    Limits::default(),
    None,
    CancellationToken::new(),
  );
  let error = served.await.expect_err("not a loopback address");
  assert!(matches!(error, LoopbackError::NotLoopback(_)));
}

/// Guards against an upstream that does not see the tag by which its runs are counted.
#[tokio::test]
async fn runs_are_counted_by_tag() {
  let upstream = Upstream::start(Config::new(service()))
    .await
    .expect("the stand-in starts");
  let (config, _crashes) = client(serving(upstream.address(), 10));
  let node = Node::forward(config).await;
  let request = http::Request::get("/")
    .header(TAG_HEADER, "a")
    .body(cactusyoke_model::empty_body())
    .expect("valid");
  let received = node.client.exchange(node.address, request).await;
  assert_eq!(received.expect("an answer").status, 200);
  assert_eq!(upstream.runs().of("a").started, 1);
  assert_eq!(upstream.runs().of("a").finished, 1);
}
