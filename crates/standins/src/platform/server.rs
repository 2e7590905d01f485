use {
  super::{
    Answered, Bucket, Calls, Counters, Faults, History, Outage, Quotas, Reply, expectation, number,
    parameter, reply,
  },
  bytes::Bytes,
  http::{HeaderMap, Method, Request, StatusCode},
  http_body_util::{BodyExt, Limited},
  hyper::{body::Incoming, server::conn::http1, service::service_fn},
  hyper_util::rt::TokioIo,
  std::{
    collections::BTreeMap,
    future::pending,
    io::{self, Error},
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, PoisonError, atomic::Ordering::Relaxed},
    time::Duration,
  },
  tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{Instant, sleep, timeout_at},
  },
  tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Largest value, bytes.
const MAX_VALUE: usize = 1 << 20;
/// Time between looks at the outage switch while a watch waits or a call hangs.
const TICK: Duration = Duration::from_millis(10);

/// Stand-in of the platform.
#[derive(Debug)]
pub struct Platform {
  address: SocketAddr,
  state: Arc<State>,
  stop: CancellationToken,
  tasks: TaskTracker,
}

#[derive(Debug)]
struct State {
  faults: Faults,
  calls: Counters,
  reads: Bucket,
  writes: Bucket,
  history: Mutex<History>,
  leases: Mutex<BTreeMap<String, (String, Instant)>>,
  written: watch::Sender<u64>,
}

impl Platform {
  /// Starts a stand-in with the quotas of the real service.
  pub async fn start() -> io::Result<Self> {
    Self::with_quotas(Quotas::default()).await
  }

  /// Starts a stand-in with other quotas.
  pub async fn with_quotas(quotas: Quotas) -> io::Result<Self> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let state = Arc::new(State {
      faults: Faults::default(),
      calls: Counters::default(),
      reads: Bucket::new(quotas.reads),
      writes: Bucket::new(quotas.writes),
      history: Mutex::default(),
      leases: Mutex::default(),
      written: watch::Sender::new(0),
    });
    let stop = CancellationToken::new();
    let tasks = TaskTracker::new();
    let accept = accept(listener, Arc::clone(&state), stop.clone(), tasks.clone());
    tasks.spawn(accept);
    Ok(Self {
      address,
      state,
      stop,
      tasks,
    })
  }

  /// Address that it listens on.
  pub const fn address(&self) -> SocketAddr {
    self.address
  }

  /// Its faults.
  pub fn faults(&self) -> &Faults {
    &self.state.faults
  }

  /// Calls since the start.
  pub fn calls(&self) -> Calls {
    self.state.calls.read()
  }

  /// The present value of a key, whatever the faults are.
  pub fn value(&self, key: &str) -> Option<Bytes> {
    Some(self.state.history().get(key, 0)?.1)
  }

  /// Closes all connections and the listener.
  pub async fn stop(self) {
    self.stop.cancel();
    self.tasks.close();
    self.tasks.wait().await;
  }
}

impl Drop for Platform {
  fn drop(&mut self) {
    self.stop.cancel();
  }
}

impl State {
  fn history(&self) -> std::sync::MutexGuard<'_, History> {
    self.history.lock().unwrap_or_else(PoisonError::into_inner)
  }

  async fn handle(&self, request: Request<Incoming>, opened: u64) -> Result<Reply, Error> {
    self.outage(opened).await?;
    sleep(self.faults.delay()).await;
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    let query = head.uri.query().unwrap_or_default();
    if let Some(key) = path.strip_prefix("/v1/kv/") {
      return match (head.method, number(query, "after")) {
        (Method::GET, Some(after)) => self.watch(key, after, query, opened).await,
        (Method::GET, None) => Ok(self.get(key)),
        (Method::PUT, _) => self.put(key, &head.headers, body).await,
        _ => Ok(reply(StatusCode::METHOD_NOT_ALLOWED, None, Bytes::new())),
      };
    }
    match path.strip_prefix("/v1/lease/") {
      Some(key) if head.method == Method::PUT => Ok(self.lease(key, query)),
      _ => Ok(reply(StatusCode::NOT_FOUND, None, Bytes::new())),
    }
  }

  fn get(&self, key: &str) -> Reply {
    self.calls.gets.fetch_add(1, Relaxed);
    if !self.reads.take() {
      return self.refuse();
    }
    match self.history().get(key, self.faults.behind()) {
      Some((version, value)) => reply(StatusCode::OK, Some(version), value),
      None => reply(StatusCode::NOT_FOUND, None, Bytes::new()),
    }
  }

  async fn watch(&self, key: &str, after: u64, query: &str, opened: u64) -> Result<Reply, Error> {
    self.calls.watches.fetch_add(1, Relaxed);
    if !self.reads.take() {
      return Ok(self.refuse());
    }
    let wait = Duration::from_millis(number(query, "wait_ms").unwrap_or(0));
    let end = Instant::now() + wait;
    let mut written = self.written.subscribe();
    loop {
      self.outage(opened).await?;
      let behind = self.faults.behind();
      let value = self.history().get(key, behind);
      match value {
        // A replica that lags does not know that the asker has seen more than it has.
        Some((version, value)) if version > after || behind > 0 => {
          return Ok(reply(StatusCode::OK, Some(version), value));
        }
        _ => {}
      }
      if Instant::now() >= end {
        return Ok(reply(StatusCode::NOT_MODIFIED, None, Bytes::new()));
      }
      let _ = timeout_at(end.min(Instant::now() + TICK), written.changed()).await;
    }
  }

  async fn put(&self, key: &str, headers: &HeaderMap, body: Incoming) -> Result<Reply, Error> {
    self.calls.puts.fetch_add(1, Relaxed);
    if !self.writes.take() {
      return Ok(self.refuse());
    }
    let Ok(value) = Limited::new(body, MAX_VALUE).collect().await else {
      return Ok(reply(StatusCode::PAYLOAD_TOO_LARGE, None, Bytes::new()));
    };
    let Some(expected) = expectation(headers) else {
      return Ok(reply(StatusCode::BAD_REQUEST, None, Bytes::new()));
    };
    let written = self.history().put(key, value.to_bytes(), expected);
    let version = match written {
      Ok(version) => version,
      Err(current) => {
        return Ok(reply(
          StatusCode::PRECONDITION_FAILED,
          current,
          Bytes::new(),
        ));
      }
    };
    self.written.send_modify(|count| *count += 1);
    match self.faults.answer() {
      Answered::Sent => Ok(reply(StatusCode::OK, Some(version), Bytes::new())),
      Answered::Lost => Err(Error::other("the answer is lost")),
    }
  }

  fn lease(&self, key: &str, query: &str) -> Reply {
    self.calls.leases.fetch_add(1, Relaxed);
    if !self.writes.take() {
      return self.refuse();
    }
    let (Some(holder), Some(ttl)) = (parameter(query, "holder"), number(query, "ttl_ms")) else {
      return reply(StatusCode::BAD_REQUEST, None, Bytes::new());
    };
    let now = Instant::now();
    let mut leases = self.leases.lock().unwrap_or_else(PoisonError::into_inner);
    match leases.get(key) {
      Some((other, until)) if *until > now && other != holder => {
        reply(StatusCode::CONFLICT, None, other.clone().into())
      }
      _ => {
        leases.insert(
          key.into(),
          (holder.into(), now + Duration::from_millis(ttl)),
        );
        reply(StatusCode::OK, None, Bytes::new())
      }
    }
  }

  fn refuse(&self) -> Reply {
    self.calls.refused.fetch_add(1, Relaxed);
    reply(StatusCode::TOO_MANY_REQUESTS, None, Bytes::new())
  }

  /// Fails during an outage, at once or when it ends, and never returns on a silent connection.
  async fn outage(&self, opened: u64) -> Result<(), Error> {
    if opened < self.faults.generation() {
      pending::<()>().await;
    }
    match self.faults.outage() {
      Outage::None => Ok(()),
      Outage::Refuse => Err(Error::other("the platform is down")),
      Outage::Hang => {
        while self.faults.outage() == Outage::Hang {
          sleep(TICK).await;
        }
        Err(Error::other("the platform was down"))
      }
    }
  }
}

async fn accept(
  listener: TcpListener,
  state: Arc<State>,
  stop: CancellationToken,
  tasks: TaskTracker,
) {
  loop {
    let accepted = tokio::select! {
      accepted = listener.accept() => accepted,
      () = stop.cancelled() => return,
    };
    let Ok((stream, _)) = accepted else {
      continue;
    };
    tasks.spawn(serve(stream, Arc::clone(&state), stop.clone()));
  }
}

async fn serve(stream: TcpStream, state: Arc<State>, stop: CancellationToken) {
  state.calls.connections.fetch_add(1, Relaxed);
  let opened = state.faults.generation();
  let service = service_fn(|request| state.handle(request, opened));
  let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
  tokio::select! {
    _ = connection => {}
    () = stop.cancelled() => {}
  }
}
