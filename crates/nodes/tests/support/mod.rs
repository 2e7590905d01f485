//! A pair of linked nodes on the loopback address, and a peer whose frames the test chooses.

#![allow(dead_code, reason = "each test file uses a part of it")]

use {
  bytes::Bytes,
  cactusyoke_model::{
    Answer, Body, Call, CallHead, Incarnation, NodeId, Priority, Repeat, Report, RequestId, Retries,
  },
  cactusyoke_nodes::{
    Incoming, IncomingCall, Links, LinksConfig,
    wire::{self, Frame, Hello},
  },
  http::{HeaderMap, Method, StatusCode},
  std::time::{Duration, Instant},
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::JoinHandle,
    time::timeout,
  },
  tokio_util::sync::CancellationToken,
};

/// Upper bound on each wait in a test.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);

pub fn config(node: NodeId) -> LinksConfig {
  LinksConfig::new(node, Incarnation(1), "east".parse().unwrap())
}

pub fn head(path: &str) -> CallHead {
  let mut headers = HeaderMap::new();
  headers.insert("accept", "text/plain".parse().unwrap());
  CallHead {
    root: RequestId(7),
    tenant: Some("tenant-a".parse().unwrap()),
    route: "pledge".parse().unwrap(),
    service: "pledges".parse().unwrap(),
    method: Method::POST,
    path: path.into(),
    headers,
    priority: Priority(0x0102),
    depth: 0,
    repeat: Repeat::No,
    idempotent: false,
    key: Some("east/k1".parse().unwrap()),
    retries: Retries(3),
    deadline: Instant::now() + Duration::from_secs(30),
  }
}

pub fn call(path: &str, body: Body) -> Call {
  Call {
    head: head(path),
    body,
  }
}

pub fn answer(body: Body) -> Answer {
  Answer {
    status: StatusCode::OK,
    headers: HeaderMap::new(),
    report: Report::IDLE,
    body,
  }
}

pub async fn within<T>(future: impl Future<Output = T>) -> T {
  timeout(WAIT_LIMIT, future).await.expect("in time")
}

/// A node that accepts links and a node that calls it.
pub struct Pair {
  pub client: Links,
  pub server: Links,
  pub node: NodeId,
  pub incoming: mpsc::Receiver<Incoming>,
  pub shutdown: CancellationToken,
  pub listening: JoinHandle<()>,
}

impl Pair {
  pub async fn new() -> Self {
    Self::with(1024, |_| {}).await
  }

  pub async fn with(queue: usize, change: impl Fn(&mut LinksConfig)) -> Self {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let node = NodeId(listener.local_addr().unwrap());
    let (mut own, mut other) = (config(node), config(NodeId("127.0.0.1:9".parse().unwrap())));
    change(&mut own);
    change(&mut other);
    let server = Links::new(own);
    let (sender, incoming) = mpsc::channel(queue);
    let shutdown = CancellationToken::new();
    let listening = tokio::spawn(server.clone().listen(listener, sender, shutdown.clone()));
    Self {
      client: Links::new(other),
      server,
      node,
      incoming,
      shutdown,
      listening,
    }
  }

  pub async fn next(&mut self) -> Incoming {
    within(self.incoming.recv()).await.expect("still listening")
  }

  pub async fn next_call(&mut self) -> IncomingCall {
    match self.next().await {
      Incoming::Call(call) => call,
      Incoming::Control(request) => panic!("{request:?}"),
    }
  }

  /// Starts a call in the background.
  pub fn start(&self, call: Call) -> JoinHandle<Result<Answer, cactusyoke_model::CallFailure>> {
    let (client, node) = (self.client.clone(), self.node);
    tokio::spawn(async move { client.call(node, call).await })
  }
}

/// Peer that sends and receives single frames, as chosen by the test.
pub struct RawPeer {
  pub socket: TcpStream,
  input: bytes::BytesMut,
}

impl RawPeer {
  pub fn new(socket: TcpStream) -> Self {
    Self {
      socket,
      input: bytes::BytesMut::new(),
    }
  }

  pub async fn hello(&mut self, node: NodeId, version: u16) {
    self
      .send(&Frame::Hello(Hello {
        version,
        node,
        incarnation: Incarnation(1),
        data_centre: "east".parse().unwrap(),
      }))
      .await;
  }

  pub async fn send(&mut self, frame: &Frame<'_>) {
    let mut out = Vec::new();
    wire::encode(frame, &mut out).unwrap();
    self.socket.write_all(&out).await.unwrap();
  }

  /// Next frame other than a heartbeat; `None` when the connection has ended.
  pub async fn next(&mut self) -> Option<Bytes> {
    loop {
      while let Some(bytes) = wire::split(&mut self.input).unwrap() {
        let frame = wire::decode(&bytes).unwrap();
        if !matches!(frame, Frame::Ping | Frame::Pong) {
          return Some(bytes);
        }
      }
      let read = within(self.socket.read_buf(&mut self.input)).await;
      if read.unwrap_or(0) == 0 {
        return None;
      }
    }
  }
}
