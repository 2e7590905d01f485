//! A listener whose handler is a closure, and raw requests to it.

#![allow(dead_code, reason = "each test file uses a part")]

use {
  bytes::Bytes,
  cactusyoke_callers::{CallHandler, CallerRequest, Limits, serve},
  cactusyoke_model::{Answer, Body, BodyError, CallFailure, Report, full_body},
  cactusyoke_standins::upstream::Client,
  futures_util::{Stream, StreamExt},
  http::{HeaderMap, StatusCode},
  http_body::Frame,
  http_body_util::{BodyExt, StreamBody},
  std::{
    net::{Ipv4Addr, SocketAddr},
    pin::Pin,
    sync::Arc,
    time::Duration,
  },
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::timeout,
  },
  tokio_util::sync::CancellationToken,
};

/// Longer than any wait of a passing test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// What a handler returns.
pub type Outcome = Result<Answer, CallFailure>;

type HandlerFn =
  dyn Fn(CallerRequest) -> Pin<Box<dyn Future<Output = Outcome> + Send>> + Send + Sync;

/// Handler that calls a closure.
pub struct Closure(Box<HandlerFn>);

impl CallHandler for Closure {
  fn handle(&self, request: CallerRequest) -> impl Future<Output = Outcome> + Send {
    (self.0)(request)
  }
}

/// Listener that is serving.
pub struct Listener {
  pub address: SocketAddr,
  pub client: Client,
  pub shutdown: CancellationToken,
  pub served: JoinHandle<()>,
}

impl Listener {
  pub async fn start<F, R>(limits: Limits, handle: F) -> Self
  where
    F: Fn(CallerRequest) -> R + Send + Sync + 'static,
    R: Future<Output = Outcome> + Send + 'static,
  {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
      .await
      .expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let shutdown = CancellationToken::new();
    let handler = Arc::new(Closure(Box::new(move |request| Box::pin(handle(request)))));
    let served = tokio::spawn(serve(listener, handler, limits, shutdown.clone()));
    Self {
      address,
      client: Client::default(),
      shutdown,
      served,
    }
  }

  pub async fn connect(&self) -> TcpStream {
    TcpStream::connect(self.address)
      .await
      .expect("the listener accepts")
  }

  /// Sends text and reads until the listener closes the connection.
  pub async fn send_raw(&self, text: &str) -> String {
    let mut stream = self.connect().await;
    stream
      .write_all(text.as_bytes())
      .await
      .expect("the listener reads");
    read_all(&mut stream).await
  }
}

/// Reads until the listener closes the connection.
pub async fn read_all(stream: &mut TcpStream) -> String {
  let mut received = Vec::new();
  let read = timeout(TEST_TIMEOUT, stream.read_to_end(&mut received)).await;
  // A reset closes the connection as well.
  drop(read.expect("the listener closes the connection"));
  String::from_utf8_lossy(&received).into_owned()
}

/// Reads until the received text contains `text`.
pub async fn read_until(stream: &mut TcpStream, text: &str) -> String {
  let mut received = Vec::new();
  let found = async {
    while !String::from_utf8_lossy(&received).contains(text) {
      let byte = stream.read_u8().await.expect("more bytes");
      received.push(byte);
    }
  };
  timeout(TEST_TIMEOUT, found)
    .await
    .expect("the text arrives");
  String::from_utf8_lossy(&received).into_owned()
}

/// Answer with a body.
pub fn answer(headers: HeaderMap, body: Body) -> Answer {
  Answer {
    status: StatusCode::OK,
    headers,
    report: Report::IDLE,
    body,
  }
}

/// Answer with text.
pub fn text_answer(line: &str) -> Answer {
  answer(HeaderMap::new(), full_body(line.to_owned()))
}

/// Body that streams data frames.
pub fn stream_body(
  data: impl Stream<Item = Result<&'static str, BodyError>> + Send + 'static,
) -> Body {
  let frames = data.map(|data| data.map(|data| Frame::data(Bytes::from_static(data.as_bytes()))));
  StreamBody::new(frames).boxed_unsync()
}
