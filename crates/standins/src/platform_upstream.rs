//! Stand-in of an upstream that uses the platform's own protocol: it sends heartbeats, answers
//! health checks, and answers requests with their id and, on success, with the mark header
//! that tells such answers from others.

use {
  crate::upstream::{pattern_body, truncated_body},
  bytes::Bytes,
  cactusyoke_model::{Body, empty_body, full_body},
  cactusyoke_platform::{
    INSTANCE_HEADER, header_names,
    heartbeats::{HEARTBEAT_PATH, Heartbeat, LEAVE_PATH, State},
  },
  http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header::CONTENT_LENGTH,
  },
  http_body_util::{BodyExt, Full},
  hyper::{
    body::Incoming, client::conn::http1::handshake, server::conn::http1, service::service_fn,
  },
  hyper_util::rt::TokioIo,
  socket2::{SockRef, Socket},
  std::{
    io::{self, Write},
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

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout for the acknowledgement of a heartbeat.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Path of the health check.
const HEALTH_PATH: &str = "/healthz";

/// Bytes of a large answer.
pub const LARGE_BYTES: u64 = 16 << 20;

/// Kind of answer to requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerMode {
  /// Success with the id of the request and the mark header.
  #[default]
  Valid,
  /// Success with the id of another request, without running the request. Requests without an id
  /// get this answer in every mode.
  WrongId,
  /// Success with the id of the request, but without the mark header.
  Unmarked,
  /// 503 with the header that says that the request was not run.
  Refusal,
  /// 503 without the header that says that the request was not run.
  UnavailableWithoutRefusedHeader,
  /// Success without a length, of whose body only a part is sent before the connection is reset. The
  /// body of the request is not read.
  Reset,
  /// Success with a body of [`LARGE_BYTES`].
  Large,
  /// As [`AnswerMode::Large`], but the connection is closed after this many bytes of the body.
  Cut(u64),
}

/// Request received by the stand-in.
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
  service_time: Mutex<Duration>,
  draining: AtomicBool,
  sequence: AtomicU64,
  answer_mode: Mutex<AnswerMode>,
  /// Rate that each answer states, requests per second.
  rate_limit: Mutex<Option<&'static str>>,
  leaving: AtomicBool,
  requests: Mutex<Vec<ReceivedRequest>>,
  stop: CancellationToken,
}

/// Running stand-in; stops when dropped.
#[derive(Debug)]
pub struct PlatformUpstream(Arc<Shared>);

impl PlatformUpstream {
  /// Listens at `address` and sends heartbeats to `node`, the address of the node's listener for
  /// them.
  pub async fn start(
    service: &str,
    id: &str,
    address: SocketAddr,
    node: SocketAddr,
    service_time: Duration,
  ) -> io::Result<Self> {
    let listener = TcpListener::bind(address).await?;
    let shared = Arc::new(Shared {
      id: id.to_owned(),
      service: service.to_owned(),
      address,
      node,
      born: 1_000,
      service_time: Mutex::new(service_time),
      draining: AtomicBool::new(false),
      sequence: AtomicU64::new(0),
      answer_mode: Mutex::default(),
      rate_limit: Mutex::default(),
      leaving: AtomicBool::new(false),
      requests: Mutex::default(),
      stop: CancellationToken::new(),
    });
    let stop = shared.stop.clone();
    tokio::spawn(
      stop
        .clone()
        .run_until_cancelled_owned(accept(listener, Arc::clone(&shared))),
    );
    tokio::spawn(stop.run_until_cancelled_owned(send_heartbeats(Arc::clone(&shared))));
    Ok(Self(shared))
  }

  /// Requests received so far, without health checks.
  pub fn requests(&self) -> Vec<ReceivedRequest> {
    lock(&self.0.requests).clone()
  }

  /// Sets the kind of answer to requests.
  pub fn set_answer_mode(&self, answer_mode: AnswerMode) {
    *lock(&self.0.answer_mode) = answer_mode;
  }

  /// Sets the rate that answers state from now on, requests per second.
  pub fn set_rate_limit(&self, rate: Option<&'static str>) {
    *lock(&self.0.rate_limit) = rate;
  }

  /// Sets whether answers say from now on that the upstream is about to stop.
  pub fn set_leaving(&self, leaving: bool) {
    self.0.leaving.store(leaving, Ordering::SeqCst);
  }

  /// Sets the running time of later requests.
  pub fn set_service_time(&self, time: Duration) {
    *lock(&self.0.service_time) = time;
  }

  /// Reports itself as draining; true when the node acknowledged it.
  pub async fn drain(&self) -> bool {
    self.0.draining.store(true, Ordering::SeqCst);
    self.0.send_heartbeat(true).await
  }

  /// Reports that it leaves; true when the node acknowledged it.
  pub async fn leave(&self) -> bool {
    let path = format!("{LEAVE_PATH}{}", self.0.id);
    self.0.post(&path, Bytes::new()).await
  }
}

impl Drop for PlatformUpstream {
  fn drop(&mut self) {
    self.0.stop.cancel();
  }
}

impl Shared {
  async fn send_heartbeat(&self, draining: bool) -> bool {
    let heartbeat = Heartbeat {
      service: self.service.clone(),
      address: self.address,
      slots: 20,
      state: if draining {
        State::Draining
      } else {
        State::Ready
      },
      cold_remaining: Duration::ZERO,
      sequence: self.sequence.fetch_add(1, Ordering::SeqCst),
      born: Some(self.born),
    };
    let body = serde_json::to_vec(&heartbeat).unwrap_or_default();
    let path = format!("{HEARTBEAT_PATH}{}", self.id);
    self.post(&path, body.into()).await
  }

  async fn post(&self, path: &str, body: Bytes) -> bool {
    let sent = timeout(ACK_TIMEOUT, self.exchange(path, body)).await;
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

  async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() == HEALTH_PATH {
      return self.health();
    }
    let mut response = self.run(request).await;
    let names = header_names();
    if let Some(rate) = *lock(&self.rate_limit) {
      let value = HeaderValue::from_static(rate);
      response.headers_mut().insert(&names.rate_limit, value);
    }
    if self.leaving.load(Ordering::SeqCst) {
      let value = HeaderValue::from_static("1");
      response.headers_mut().insert(&names.leaving, value);
    }
    response
  }

  async fn run(&self, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let names = header_names();
    let answer_mode = *lock(&self.answer_mode);
    let id = head.headers.get(&names.request_id).cloned();
    let Some(id) = id.filter(|_id| answer_mode != AnswerMode::WrongId) else {
      return respond(StatusCode::OK, &HeaderValue::from_static("another"), true);
    };
    let expected = head.headers.get(&names.instance);
    if expected.is_some_and(|expected| expected != self.id.as_str()) {
      return respond(StatusCode::MISDIRECTED_REQUEST, &id, false);
    }
    lock(&self.requests).push(ReceivedRequest {
      path: head.uri.path().to_owned(),
      headers: head.headers,
    });
    drop(body.collect().await);
    match answer_mode {
      AnswerMode::Refusal => {
        let mut response = respond(StatusCode::SERVICE_UNAVAILABLE, &id, false);
        let value = HeaderValue::from_static("1");
        response.headers_mut().insert(&names.refused, value);
        response
      }
      AnswerMode::UnavailableWithoutRefusedHeader => {
        respond(StatusCode::SERVICE_UNAVAILABLE, &id, false)
      }
      AnswerMode::Unmarked => respond(StatusCode::OK, &id, false),
      AnswerMode::Valid | AnswerMode::WrongId | AnswerMode::Reset => {
        let time = *lock(&self.service_time);
        sleep(time).await;
        respond(StatusCode::OK, &id, true)
      }
      AnswerMode::Large => with_length(
        respond(StatusCode::OK, &id, true),
        pattern_body(LARGE_BYTES),
      ),
      AnswerMode::Cut(bytes) => {
        with_length(respond(StatusCode::OK, &id, true), truncated_body(bytes))
      }
    }
  }

  /// Answers a request in mode [`AnswerMode::Reset`]; the connection is reset when it is closed.
  fn reset(&self, request: &Request<Incoming>, mut socket: &Socket) -> io::Result<()> {
    let names = header_names();
    let id = request.headers().get(&names.request_id);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    let mark = names.success_mark.as_ref().map_or("x", HeaderName::as_str);
    let answer = format!(
      "HTTP/1.1 200 OK\r\n{}: {id}\r\n{mark}: 3e1b.07\r\n\r\na part of the",
      names.request_id
    );
    lock(&self.requests).push(ReceivedRequest {
      path: request.uri().path().to_owned(),
      headers: request.headers().clone(),
    });
    socket.write_all(answer.as_bytes())?;
    socket.set_linger(Some(Duration::ZERO))
  }

  fn health(&self) -> Response<Body> {
    let mut response = Response::new(empty_body());
    if self.draining.load(Ordering::SeqCst) {
      *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    if let Ok(id) = HeaderValue::from_str(&self.id) {
      response.headers_mut().insert(INSTANCE_HEADER, id);
    }
    response
  }
}

fn respond(status: StatusCode, id: &HeaderValue, marked: bool) -> Response<Body> {
  let names = header_names();
  let mut response = Response::new(full_body("the upstream's bytes"));
  *response.status_mut() = status;
  response.headers_mut().insert(&names.request_id, id.clone());
  if let Some(mark) = names.success_mark.as_ref().filter(|_mark| marked) {
    let value = HeaderValue::from_static("3e1b.07");
    response.headers_mut().insert(mark, value);
  }
  response
}

/// Replaces the body by one of [`LARGE_BYTES`], as far as it goes.
fn with_length(response: Response<Body>, body: Body) -> Response<Body> {
  let mut response = response.map(|_body| body);
  let length = HeaderValue::from(LARGE_BYTES);
  response.headers_mut().insert(CONTENT_LENGTH, length);
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
      let socket = match SockRef::from(&stream).try_clone() {
        Ok(socket) => socket,
        Err(error) => {
          tracing::debug!(%error, "stand-in connection not served");
          return;
        }
      };
      let service = service_fn(|request| async {
        let resets = *lock(&shared.answer_mode) == AnswerMode::Reset;
        if resets && request.uri().path() != HEALTH_PATH {
          shared.reset(&request, &socket)?;
          return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok::<_, io::Error>(shared.answer(request).await)
      });
      let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
      if let Err(error) = served.await {
        tracing::debug!(%error, "stand-in connection ended");
      }
    };
    tokio::spawn(stop.run_until_cancelled_owned(connection));
  }
}

async fn send_heartbeats(shared: Arc<Shared>) {
  let mut ticks = interval(HEARTBEAT_INTERVAL);
  loop {
    ticks.tick().await;
    shared
      .send_heartbeat(shared.draining.load(Ordering::SeqCst))
      .await;
  }
}
