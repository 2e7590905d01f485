//! Test node: the callers' listener and the upstream client, connected without admission control.

#![allow(dead_code, reason = "each test file uses a part")]

use {
  cactusyoke_callers::{CallHandler, CallerRequest, Limits, serve},
  cactusyoke_model::{
    Answer, Body, Call, CallFailure, CallHead, ClassRank, Connections, Context, Priority, Repeat,
    RequestId, Retries, ServiceName, Slots, SpanId, empty_body,
  },
  cactusyoke_standins::upstream::{Client, ClientError, ReceivedResponse},
  cactusyoke_upstreams::{
    Hints, LostConnection, Phase, Upstream, UpstreamConfig, UpstreamView, ViewHandle,
    announce::Announcement,
  },
  http::{HeaderMap, Method, Request},
  http_body_util::BodyExt,
  std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
      Arc, Mutex,
      atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
  },
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
  },
  tokio_util::sync::CancellationToken,
};

/// Time limit of waits, longer than any wait of a passing test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Service of the upstream in every test.
pub fn service() -> ServiceName {
  "plaques".parse().expect("a valid name")
}

/// View of an upstream in phase `Serving`.
pub fn serving_view(address: SocketAddr, connections: u32) -> ViewHandle {
  ViewHandle::new(UpstreamView {
    phase: Phase::Serving,
    since: Instant::now(),
    announcement: Some(Announcement {
      service: service(),
      address,
      slots: Slots(1),
      connections: Connections(connections),
      cold_start: Duration::ZERO,
      instance: None,
      incarnation: None,
    }),
    hints: Hints::default(),
  })
}

/// Reported lost connections, in order.
pub type LostConnections = Arc<Mutex<Vec<LostConnection>>>;

/// Settings of an upstream client that records lost connections.
pub fn client_config(view_handle: ViewHandle) -> (UpstreamConfig, LostConnections) {
  let lost_connections = LostConnections::default();
  let record = Arc::clone(&lost_connections);
  let config = UpstreamConfig {
    on_lost_connection: Arc::new(move |lost| {
      record.lock().expect("not poisoned").push(lost);
    }),
    ..UpstreamConfig::new(view_handle)
  };
  (config, lost_connections)
}

/// Call with a deadline after `limit`.
pub fn call(method: Method, path: &str, body: Body, limit: Duration) -> (Call, Context) {
  static SPANS: AtomicU64 = AtomicU64::new(1);
  let span = SpanId(SPANS.fetch_add(1, Ordering::SeqCst));
  let root = RequestId(u128::from(span.0));
  let priority = Priority::new(ClassRank(0), root);
  let head = CallHead {
    root,
    tenant: None,
    route: "test".parse().expect("a valid name"),
    service: service(),
    method,
    path: path.to_owned(),
    headers: HeaderMap::new(),
    priority,
    depth: 0,
    repeat: Repeat::No,
    idempotent: false,
    key: None,
    retries: Retries::ZERO,
    deadline: Instant::now() + limit,
  };
  let context = Context {
    root,
    span,
    priority,
    remaining: limit,
    retries: Retries::ZERO,
  };
  (Call { head, body }, context)
}

/// `GET` call without a body, with a deadline after a minute.
pub fn get(path: &str) -> (Call, Context) {
  call(Method::GET, path, empty_body(), Duration::from_mins(1))
}

/// Handler that forwards every request to the upstream.
#[derive(Debug)]
pub struct Forward(pub Upstream);

impl CallHandler for Forward {
  async fn handle(&self, request: CallerRequest) -> Result<Answer, CallFailure> {
    let limit = Duration::from_mins(1);
    let (mut call, context) = call(request.method, &request.path, request.body, limit);
    call.head.headers = request.headers;
    call.head.key = request.key;
    self.0.call(call, context).await
  }
}

/// Node on a free loopback port, with a client to send requests to it.
#[derive(Debug)]
pub struct Node {
  pub address: SocketAddr,
  pub client: Client,
  pub shutdown: CancellationToken,
  pub task: tokio::task::JoinHandle<()>,
}

impl Node {
  pub async fn start<H: CallHandler>(handler: H, limits: Limits) -> Self {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
      .await
      .expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let shutdown = CancellationToken::new();
    let task = tokio::spawn(serve(listener, Arc::new(handler), limits, shutdown.clone()));
    Self {
      address,
      client: Client::default(),
      shutdown,
      task,
    }
  }

  /// Node that forwards every request to an upstream.
  pub async fn forward(config: UpstreamConfig) -> Self {
    Self::start(Forward(Upstream::new(config)), Limits::default()).await
  }

  pub async fn send(
    &self,
    method: Method,
    path: &str,
    body: Body,
  ) -> Result<ReceivedResponse, ClientError> {
    let request = Request::builder()
      .method(method)
      .uri(path)
      .header("te", "trailers")
      .body(body)
      .expect("a valid request");
    self.client.exchange(self.address, request).await
  }

  pub async fn get(&self, path: &str) -> Result<ReceivedResponse, ClientError> {
    self.send(Method::GET, path, empty_body()).await
  }
}

/// Listener that runs `serve` on each connection, with the connection's number, starting at 0.
pub async fn raw_upstream<F, R>(serve: F) -> SocketAddr
where
  F: Fn(usize, TcpStream) -> R + Send + 'static,
  R: Future<Output = ()> + Send + 'static,
{
  let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
    .await
    .expect("a free port");
  let address = listener.local_addr().expect("a bound address");
  tokio::spawn(async move {
    for number in 0.. {
      let (stream, _peer) = listener.accept().await.expect("a connection");
      tokio::spawn(serve(number, stream));
    }
  });
  address
}

/// Reads up to the next empty line, or to the end of the stream.
pub async fn read_head(stream: &mut TcpStream) -> String {
  let mut head = Vec::new();
  while !head.ends_with(b"\r\n\r\n") {
    match stream.read_u8().await {
      Ok(byte) => head.push(byte),
      Err(_error) => break,
    }
  }
  String::from_utf8_lossy(&head).into_owned()
}

/// Whole answer.
pub const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Answers each request after `pause`, until the connection is closed.
pub async fn answer_all(stream: &mut TcpStream, pause: Duration) {
  while !read_head(stream).await.is_empty() {
    sleep(pause).await;
    if stream.write_all(OK).await.is_err() {
      return;
    }
  }
}

/// Sends a `GET` call and reads its answer, which must be [`OK`].
pub async fn run(upstream: &Upstream, path: &str) -> Result<(), CallFailure> {
  let (call, context) = get(path);
  let Answer { body, .. } = upstream.call(call, context).await?;
  let body = body.collect().await.expect("a whole body");
  assert_eq!(body.to_bytes(), "ok");
  Ok(())
}
