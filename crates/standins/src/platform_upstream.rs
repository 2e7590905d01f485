//! Stand-in of an upstream on the users' platform: heartbeats, health, and answers that carry the id
//! of their request and a mark.

use {
  bytes::Bytes,
  cactusyoke_platform::{
    INSTANCE, header_names,
    heartbeats::{HEARTBEAT, Heartbeat, LEAVE, State},
  },
  http::{HeaderMap, HeaderValue, Request, Response, StatusCode},
  http_body_util::{BodyExt, Full},
  hyper::{
    body::Incoming, client::conn::http1::handshake, server::conn::http1, service::service_fn,
  },
  hyper_util::rt::TokioIo,
  std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{
      Arc, Mutex, MutexGuard, PoisonError,
      atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
  },
  tokio::{
    net::{TcpListener, TcpStream},
    time::{interval, sleep, timeout},
  },
  tokio_util::sync::CancellationToken,
};

/// Time between two heartbeats.
const PERIOD: Duration = Duration::from_millis(300);

/// Time in which a heartbeat is acknowledged.
const ACK: Duration = Duration::from_secs(1);

/// How the stand-in answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerMode {
  /// As it should.
  #[default]
  Valid,
  /// With the id of another request.
  WrongId,
  /// Without the mark of a success.
  Unmarked,
  /// It refuses each request without running it.
  Refusal,
  /// It promises that the request did not run, without a word of its own for it.
  BareUnavailable,
}

/// Request that reached the stand-in.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
  /// Path.
  pub path: String,
  /// Headers.
  pub headers: HeaderMap,
}

#[derive(Debug)]
struct Shared {
  id: String,
  service: String,
  address: SocketAddr,
  node: SocketAddr,
  born: u64,
  work: Duration,
  draining: AtomicBool,
  sequence: AtomicU64,
  answering: Mutex<AnswerMode>,
  arrivals: Mutex<Vec<ReceivedRequest>>,
  stop: CancellationToken,
}

/// Running stand-in.
#[derive(Debug)]
pub struct PlatformUpstream(Arc<Shared>);

impl PlatformUpstream {
  /// Listens at `address` and sends heartbeats to the node.
  pub async fn start(
    service: &str,
    id: &str,
    address: SocketAddr,
    node: SocketAddr,
    work: Duration,
  ) -> io::Result<Self> {
    let listener = TcpListener::bind(address).await?;
    let shared = Arc::new(Shared {
      id: id.to_owned(),
      service: service.to_owned(),
      address,
      node,
      born: 1_000,
      work,
      draining: AtomicBool::new(false),
      sequence: AtomicU64::new(0),
      answering: Mutex::default(),
      arrivals: Mutex::default(),
      stop: CancellationToken::new(),
    });
    let stop = shared.stop.clone();
    tokio::spawn(
      stop
        .clone()
        .run_until_cancelled_owned(accept(listener, Arc::clone(&shared))),
    );
    tokio::spawn(stop.run_until_cancelled_owned(beat(Arc::clone(&shared))));
    Ok(Self(shared))
  }

  /// Requests that reached it.
  pub fn requests(&self) -> Vec<ReceivedRequest> {
    lock(&self.0.arrivals).clone()
  }

  /// Changes how it answers.
  pub fn set_answer_mode(&self, answering: AnswerMode) {
    *lock(&self.0.answering) = answering;
  }

  /// Says that it takes no more; true when the node acknowledged it.
  pub async fn drain(&self) -> bool {
    self.0.draining.store(true, Ordering::SeqCst);
    self.0.say(true).await
  }

  /// Says that it leaves; true when the node acknowledged it.
  pub async fn leave(&self) -> bool {
    let path = format!("{LEAVE}{}", self.0.id);
    self.0.post(&path, Bytes::new()).await
  }
}

impl Drop for PlatformUpstream {
  fn drop(&mut self) {
    self.0.stop.cancel();
  }
}

impl Shared {
  async fn say(&self, draining: bool) -> bool {
    let beat = Heartbeat {
      service: self.service.clone(),
      address: self.address,
      slots: 20,
      state: if draining {
        State::Draining
      } else {
        State::Ready
      },
      cold: Duration::ZERO,
      sequence: self.sequence.fetch_add(1, Ordering::SeqCst),
      born: Some(self.born),
    };
    let body = serde_json::to_vec(&beat).unwrap_or_default();
    let path = format!("{HEARTBEAT}{}", self.id);
    self.post(&path, body.into()).await
  }

  async fn post(&self, path: &str, body: Bytes) -> bool {
    let sent = timeout(ACK, self.exchange(path, body)).await;
    matches!(sent, Ok(Some(status)) if status.is_success())
  }

  async fn exchange(&self, path: &str, body: Bytes) -> Option<StatusCode> {
    let stream = TcpStream::connect(self.node).await.ok()?;
    let (mut sender, driver) = handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(driver);
    let request = Request::post(path)
      .header("host", self.node.to_string())
      .body(Full::new(body))
      .ok()?;
    let status = sender.send_request(request).await.ok()?.status();
    driver.abort();
    Some(status)
  }

  async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    if head.uri.path() == "/healthz" {
      return self.health();
    }
    let names = header_names();
    let answering = *lock(&self.answering);
    let id = head.headers.get(&names.request).cloned();
    let Some(id) = id.filter(|_id| answering != AnswerMode::WrongId) else {
      return with_id(StatusCode::OK, &HeaderValue::from_static("another"), true);
    };
    let expected = head.headers.get(&names.instance);
    if expected.is_some_and(|expected| expected != self.id.as_str()) {
      return with_id(StatusCode::MISDIRECTED_REQUEST, &id, false);
    }
    lock(&self.arrivals).push(ReceivedRequest {
      path: head.uri.path().to_owned(),
      headers: head.headers,
    });
    drop(body.collect().await);
    match answering {
      AnswerMode::Refusal => {
        let mut response = with_id(StatusCode::SERVICE_UNAVAILABLE, &id, false);
        let mark = HeaderValue::from_static("1");
        response.headers_mut().insert(&names.refused, mark);
        response
      }
      AnswerMode::BareUnavailable => with_id(StatusCode::SERVICE_UNAVAILABLE, &id, false),
      AnswerMode::Unmarked => with_id(StatusCode::OK, &id, false),
      AnswerMode::Valid | AnswerMode::WrongId => {
        sleep(self.work).await;
        with_id(StatusCode::OK, &id, true)
      }
    }
  }

  fn health(&self) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if self.draining.load(Ordering::SeqCst) {
      *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    if let Ok(id) = HeaderValue::from_str(&self.id) {
      response.headers_mut().insert(INSTANCE, id);
    }
    response
  }
}

fn with_id(status: StatusCode, id: &HeaderValue, marked: bool) -> Response<Full<Bytes>> {
  let names = header_names();
  let mut response = Response::new(Full::new(Bytes::from_static(b"the upstream's bytes")));
  *response.status_mut() = status;
  response.headers_mut().insert(&names.request, id.clone());
  if let Some(mark) = names.mark.as_ref().filter(|_mark| marked) {
    let value = HeaderValue::from_static("3e1b.07");
    response.headers_mut().insert(mark, value);
  }
  response
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
  while let Ok((stream, _peer)) = listener.accept().await {
    let shared = Arc::clone(&shared);
    let stop = shared.stop.clone();
    let connection = async move {
      let service =
        service_fn(|request| async { Ok::<_, Infallible>(shared.answer(request).await) });
      let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
      if let Err(error) = served.await {
        tracing::debug!(%error, "stand-in connection ended");
      }
    };
    tokio::spawn(stop.run_until_cancelled_owned(connection));
  }
}

async fn beat(shared: Arc<Shared>) {
  let mut ticks = interval(PERIOD);
  loop {
    ticks.tick().await;
    shared.say(shared.draining.load(Ordering::SeqCst)).await;
  }
}
