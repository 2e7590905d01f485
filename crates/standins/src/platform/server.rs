use {
  super::{
    Answered, Bucket, CallCounts, Counters, Data, Faults, MAX_VALUE, Outage, Quotas, Refused,
    Reply, empty, json, not_found, read,
  },
  bytes::Bytes,
  cactusyoke_platform::wire::{
    self, ConflictReply, KeyQuery, LeaseCall, LeaseReply, Put, RangeQuery, RangeReply, TxnCall,
    TxnReply, WatchQuery, WatchReply,
  },
  http::{Method, Request, StatusCode},
  hyper::{body::Incoming, server::conn::http1, service::service_fn},
  hyper_util::rt::TokioIo,
  std::{
    future::pending,
    io::{self, Error},
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering::Relaxed},
    time::Duration,
  },
  tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{Instant, interval, sleep, timeout_at},
  },
  tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Items on a page.
const PAGE: usize = 50;
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
  data: Mutex<Data>,
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
      data: Mutex::default(),
      written: watch::Sender::new(0),
    });
    let stop = CancellationToken::new();
    let tasks = TaskTracker::new();
    let accept = accept(listener, Arc::clone(&state), stop.clone(), tasks.clone());
    tasks.spawn(accept);
    tasks.spawn(expire(Arc::clone(&state), stop.clone()));
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
  pub fn calls(&self) -> CallCounts {
    self.state.calls.read()
  }

  /// The present value of a key, whatever the faults are.
  pub fn value(&self, key: &str) -> Option<Bytes> {
    Some(self.state.data().get(key, 0)?.value.into())
  }

  /// Writes a key as an operator or another writer would, whatever the faults are.
  pub fn write(&self, key: &str, value: impl Into<Bytes>) {
    let put = Put {
      key: key.to_owned(),
      value: value.into(),
      lease_id: 0,
    };
    let call = TxnCall {
      puts: vec![put],
      ..TxnCall::default()
    };
    // A write without conditions takes effect.
    drop(self.state.data().write(call));
    self.state.announce();
  }

  /// Removes a key although its lease goes on.
  pub fn remove(&self, key: &str) {
    self.state.data().remove(key);
    self.state.announce();
  }

  /// Forgets the changes so far.
  pub fn compact(&self) {
    self.state.data().compact();
    self.state.announce();
  }

  /// Keys that begin with `prefix`.
  pub fn keys(&self, prefix: &str) -> Vec<String> {
    let items = self.state.data().range(prefix, None, 0);
    items.into_iter().map(|item| item.key).collect()
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
  fn data(&self) -> MutexGuard<'_, Data> {
    self.data.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Wakes the watches.
  fn announce(&self) {
    self.written.send_modify(|count| *count += 1);
  }

  async fn handle(&self, request: Request<Incoming>, opened: u64) -> Result<Reply, Error> {
    self.outage(opened).await?;
    sleep(self.faults.delay()).await;
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    let query = head.uri.query().unwrap_or_default();
    let lease = |prefix| path.strip_prefix(prefix)?.parse::<u64>().ok();
    match (&head.method, path) {
      (&Method::GET, wire::KEY) => Ok(self.get(query)),
      (&Method::GET, wire::RANGE) => Ok(self.range(query)),
      (&Method::GET, wire::WATCH) => self.watch(query, opened).await,
      (&Method::POST, wire::TXN) => self.write(body).await,
      (&Method::POST, wire::LEASE) => Ok(self.grant(body).await),
      (&Method::POST, _) => Ok(lease(wire::KEEP).map_or_else(not_found, |id| self.keep(id))),
      (&Method::DELETE, _) => Ok(lease(wire::LEASE_END).map_or_else(not_found, |id| self.end(id))),
      _ => Ok(not_found()),
    }
  }

  fn get(&self, query: &str) -> Reply {
    self.calls.gets.fetch_add(1, Relaxed);
    if !self.reads.take() {
      return self.refuse();
    }
    let Ok(query) = serde_urlencoded::from_str::<KeyQuery>(query) else {
      return empty(StatusCode::BAD_REQUEST);
    };
    match self.data().get(&query.key, self.faults.behind()) {
      Some(item) => json(StatusCode::OK, &item),
      None => not_found(),
    }
  }

  fn range(&self, query: &str) -> Reply {
    self.calls.gets.fetch_add(1, Relaxed);
    if !self.reads.take() {
      return self.refuse();
    }
    let Ok(query) = serde_urlencoded::from_str::<RangeQuery>(query) else {
      return empty(StatusCode::BAD_REQUEST);
    };
    let data = self.data();
    let mut items = data.range(&query.prefix, query.after.as_deref(), self.faults.behind());
    let has_more = items.len() > PAGE;
    items.truncate(PAGE);
    let reply = RangeReply {
      items,
      has_more,
      at_rev: data.revision(),
    };
    json(StatusCode::OK, &reply)
  }

  async fn watch(&self, query: &str, opened: u64) -> Result<Reply, Error> {
    self.calls.watches.fetch_add(1, Relaxed);
    if !self.reads.take() {
      return Ok(self.refuse());
    }
    let Ok(query) = serde_urlencoded::from_str::<WatchQuery>(query) else {
      return Ok(empty(StatusCode::BAD_REQUEST));
    };
    let end = Instant::now() + Duration::from_millis(query.wait_ms);
    let mut written = self.written.subscribe();
    loop {
      self.outage(opened).await?;
      if let Some(reply) = self.changes(&query, Instant::now() >= end) {
        return Ok(reply);
      }
      let _ = timeout_at(end.min(Instant::now() + TICK), written.changed()).await;
    }
  }

  /// Answer to a watch when there are changes or it ends.
  fn changes(&self, query: &WatchQuery, ends: bool) -> Option<Reply> {
    let data = self.data();
    if self.faults.behind() > 0 {
      // A replica that lags does not know of the asker's revision.
      return Some(empty(StatusCode::GONE));
    }
    let Some(events) = data.changes(&query.prefix, query.after) else {
      return Some(empty(StatusCode::GONE));
    };
    if events.is_empty() && !ends {
      return None;
    }
    let reply = WatchReply {
      events,
      at_rev: data.revision().max(query.after),
    };
    Some(json(StatusCode::OK, &reply))
  }

  async fn write(&self, body: Incoming) -> Result<Reply, Error> {
    self.calls.puts.fetch_add(1, Relaxed);
    if !self.writes.take() {
      return Ok(self.refuse());
    }
    let Some(call) = read::<TxnCall>(body).await else {
      return Ok(empty(StatusCode::BAD_REQUEST));
    };
    if call.puts.iter().any(|put| put.value.len() > MAX_VALUE) {
      return Ok(empty(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let written = self.data().write(call);
    let revision = match written {
      Ok(revision) => revision,
      Err(Refused::Conflict(items)) => {
        let reply = ConflictReply { items };
        return Ok(json(StatusCode::PRECONDITION_FAILED, &reply));
      }
      Err(Refused::NoLease) => return Ok(not_found()),
    };
    self.announce();
    match self.faults.answer() {
      Answered::Sent => Ok(json(StatusCode::OK, &TxnReply { revision })),
      Answered::Lost => Err(Error::other("the answer is lost")),
    }
  }

  async fn grant(&self, body: Incoming) -> Reply {
    self.calls.leases.fetch_add(1, Relaxed);
    if !self.writes.take() {
      return self.refuse();
    }
    let Some(call) = read::<LeaseCall>(body).await else {
      return empty(StatusCode::BAD_REQUEST);
    };
    let lease_id = self.data().grant(call.ttl);
    let reply = LeaseReply {
      lease_id,
      ttl: call.ttl,
    };
    json(StatusCode::OK, &reply)
  }

  fn keep(&self, lease: u64) -> Reply {
    self.calls.leases.fetch_add(1, Relaxed);
    if !self.reads.take() {
      return self.refuse();
    }
    match self.data().keep(lease) {
      Some(ttl) => json(
        StatusCode::OK,
        &LeaseReply {
          lease_id: lease,
          ttl,
        },
      ),
      None => not_found(),
    }
  }

  fn end(&self, lease: u64) -> Reply {
    self.calls.leases.fetch_add(1, Relaxed);
    self.data().end(lease);
    self.announce();
    json(StatusCode::OK, &())
  }

  fn refuse(&self) -> Reply {
    self.calls.refused.fetch_add(1, Relaxed);
    empty(StatusCode::TOO_MANY_REQUESTS)
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

/// Ends leases whose time has passed, except during an outage.
async fn expire(state: Arc<State>, stop: CancellationToken) {
  let mut ticks = interval(TICK);
  while stop.run_until_cancelled(ticks.tick()).await.is_some() {
    if state.faults.outage() == Outage::None && state.data().expire() {
      state.announce();
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
