//! Baseline without control: forwards each call to a random server and retries failed ones at once.

use {
  cactusyoke_callers::{CallHandler, CallerRequest, Limits},
  cactusyoke_model::{
    Answer, Body, BodyError, CallFailure, NotRunReason, Report, UnknownReason, full_body,
  },
  http::{Request, header},
  http_body_util::BodyExt,
  hyper::client::conn::http1::{SendRequest, handshake},
  hyper_util::rt::TokioIo,
  rand::seq::IndexedRandom,
  std::{
    collections::HashMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
  },
  tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
  },
  tokio_util::sync::CancellationToken,
};

/// Retries at each hop, as a usual client library makes them.
const MAX_RETRIES: usize = 2;

/// Timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);

/// Servers by path prefix.
type Routes = Arc<Mutex<Vec<(&'static str, Vec<SocketAddr>)>>>;

/// Forwarder without control.
#[derive(Debug)]
pub(crate) struct Baseline {
  pub(crate) address: SocketAddr,
  routes: Routes,
  stop: CancellationToken,
}

/// Forwards calls to random servers and keeps idle connections to them.
#[derive(Debug)]
struct DirectHandler {
  routes: Routes,
  idle: Mutex<HashMap<SocketAddr, Vec<SendRequest<Body>>>>,
}

impl Baseline {
  /// Listens on a free loopback port, without servers.
  pub(crate) async fn start() -> io::Result<Self> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let routes = Routes::default();
    let handler = Arc::new(DirectHandler {
      routes: Arc::clone(&routes),
      idle: Mutex::default(),
    });
    let stop = CancellationToken::new();
    let limits = Limits {
      connections: 100_000,
      ..Limits::default()
    };
    tokio::spawn(cactusyoke_callers::serve(
      listener,
      handler,
      limits,
      stop.clone(),
    ));
    Ok(Self {
      address,
      routes,
      stop,
    })
  }

  /// Adds the servers of a path.
  pub(crate) fn add(&self, path: &'static str, servers: Vec<SocketAddr>) {
    self
      .routes
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
      .push((path, servers));
  }

  pub(crate) fn stop(&self) {
    self.stop.cancel();
  }
}

impl CallHandler for DirectHandler {
  async fn handle(&self, request: CallerRequest) -> Result<Answer, CallFailure> {
    let body = request.body.collect().await;
    let body = body
      .map_err(|_error| CallFailure::not_run(NotRunReason::BadRequest))?
      .to_bytes();
    let mut failure = CallFailure::not_run(NotRunReason::NoUpstream);
    for _ in 0..=MAX_RETRIES {
      let Some(server) = self.server(&request.path) else {
        return Err(failure);
      };
      let mut copy = Request::new(full_body(body.clone()));
      *copy.method_mut() = request.method.clone();
      *copy.headers_mut() = request.headers.clone();
      copy.headers_mut().remove(header::CONTENT_LENGTH);
      if let Ok(uri) = request.path.parse() {
        *copy.uri_mut() = uri;
      }
      match timeout(ATTEMPT_TIMEOUT, self.send(server, copy)).await {
        Ok(Some(answer)) if !answer.status.is_server_error() => return Ok(answer),
        Ok(_) => failure = CallFailure::unknown(UnknownReason::Connection),
        Err(_elapsed) => failure = CallFailure::unknown(UnknownReason::Deadline),
      }
    }
    Err(failure)
  }
}

impl DirectHandler {
  fn server(&self, path: &str) -> Option<SocketAddr> {
    let routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
    let (_, servers) = routes.iter().find(|(prefix, _)| path.starts_with(prefix))?;
    servers.choose(&mut rand::rng()).copied()
  }

  async fn send(&self, server: SocketAddr, request: Request<Body>) -> Option<Answer> {
    let mut sender = self.connection(server).await?;
    let response = sender.send_request(request).await.ok()?;
    let (parts, body) = response.into_parts();
    let mut headers = parts.headers;
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::TRANSFER_ENCODING);
    let body = body.collect().await.ok()?.to_bytes();
    let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
    idle.entry(server).or_default().push(sender);
    let body = full_body(body)
      .map_err(|_error| BodyError::ConnectionLost)
      .boxed_unsync();
    Some(Answer {
      status: parts.status,
      headers,
      report: Report::IDLE,
      body,
    })
  }

  async fn connection(&self, server: SocketAddr) -> Option<SendRequest<Body>> {
    loop {
      let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
      match idle.get_mut(&server).and_then(Vec::pop) {
        Some(sender) if sender.is_ready() => return Some(sender),
        Some(_closed) => {}
        None => break,
      }
    }
    let stream = TcpStream::connect(server).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
      // A lost connection fails the request of its sender, so the error is not needed here.
      drop(connection.await);
    });
    Some(sender)
  }
}
