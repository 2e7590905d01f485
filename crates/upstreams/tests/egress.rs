//! Listener for the outgoing calls of the upstream.

mod support;

use {
  cactusyoke_callers::{CallHandler, CallerRequest, Limits},
  cactusyoke_model::{Answer, CallFailure, Context, NotRunReason, Report, full_body},
  cactusyoke_standins::upstream::{Config, NestedCall, TAG_HEADER, Upstream},
  cactusyoke_upstreams::{LoopbackError, egress},
  http::{HeaderMap, Method, StatusCode},
  std::sync::{Arc, Mutex},
  support::{Node, client_config, service, serving_view},
  tokio::net::TcpListener,
  tokio_util::sync::CancellationToken,
};

/// Handler that records the contexts of requests, fails `/refused` and answers everything else.
#[derive(Debug, Default)]
struct ContextRecorder(Mutex<Vec<Option<Context>>>);

impl CallHandler for ContextRecorder {
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

/// Guards against outgoing calls that lose the context of the call that caused them, and against a
/// failed outgoing call that does not reach the upstream as a failure.
#[tokio::test]
async fn context_reaches_the_calls_of_the_upstream() {
  let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
  let address = listener.local_addr().expect("a bound address");
  let shutdown = CancellationToken::new();
  let recorder = Arc::new(ContextRecorder::default());
  let handler = Arc::clone(&recorder);
  let served = tokio::spawn(egress::serve(
    listener,
    handler,
    Limits::default(),
    None,
    shutdown.clone(),
  ));
  let nested_call = |parent: &str, path: &str| NestedCall {
    parent: parent.to_owned(),
    method: Method::GET,
    path: path.to_owned(),
  };
  let upstream = Upstream::start(Config {
    egress: Some(address),
    nested_calls: vec![
      nested_call("/map", "/parcels"),
      nested_call("/refused", "/refused"),
    ],
    ..Config::new(service())
  })
  .await
  .expect("the stand-in starts");
  let (config, _lost_connections) = client_config(serving_view(upstream.address(), 10));
  let node = Node::forward(config).await;
  let received = node.get("/map/7").await.expect("an answer");
  assert_eq!(received.status, 200);
  let received = node.get("/refused").await.expect("an answer");
  assert_eq!(received.status, 502);
  let received = node.get("/alone").await.expect("an answer");
  assert_eq!(received.status, 200);
  let contexts = recorder.0.lock().expect("not poisoned").clone();
  let [Some(first), Some(second)] = contexts.as_slice() else {
    panic!("two calls with a context expected, not {contexts:?}");
  };
  assert_ne!(first.span, second.span);
  shutdown.cancel();
  served.await.expect("no panic").expect("a loopback address");
}

/// Guards against an egress listener that other machines can reach.
#[tokio::test]
async fn listener_must_be_loopback() {
  let listener = TcpListener::bind("0.0.0.0:0").await.expect("a free port");
  let recorder = Arc::new(ContextRecorder::default());
  let served = egress::serve(
    listener,
    recorder,
    Limits::default(),
    None,
    CancellationToken::new(),
  );
  let error = served.await.expect_err("not a loopback address");
  assert!(matches!(error, LoopbackError::NotLoopback(_)));
}

/// Guards against losing the tag header by which the stand-in counts the runs of a request.
#[tokio::test]
async fn runs_are_counted_by_tag() {
  let upstream = Upstream::start(Config::new(service()))
    .await
    .expect("the stand-in starts");
  let (config, _lost_connections) = client_config(serving_view(upstream.address(), 10));
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
