use {
  super::{
    CallCounts, Connection, Counters, Database, Delivery, Entry, Faults, HttpResponse, MAX_VALUE,
    Outage, POLL_INTERVAL, Quotas, TokenBucket, WriteError, empty_response, json_response,
    not_found, read_json,
  },
  bytes::Bytes,
  cactusyoke_platform::wire::{
    self, ConflictReply, KeyQuery, LeaseReply, LeaseRequest, Put, RangeQuery, RangeReply, TxnReply,
    TxnRequest, WatchQuery, WatchReply,
  },
  http::{HeaderValue, Method, Request, StatusCode},
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

/// Items on one page of a range read.
const PAGE_SIZE: usize = 50;

/// Copy of everything in the store.
#[derive(Clone, Debug)]
pub struct StoreCopy(Database);

/// Running stand-in of the platform; stops when dropped.
#[derive(Debug)]
pub struct Platform {
  address: SocketAddr,
  state: Arc<State>,
  stop: CancellationToken,
  tasks: TaskTracker,
}

#[derive(Debug)]
struct State {
  faults: Arc<Faults>,
  calls: Counters,
  read_quota: TokenBucket,
  write_quota: TokenBucket,
  database: Mutex<Database>,
  /// Writes so far; a change wakes the watches.
  write_count: watch::Sender<u64>,
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
      faults: Arc::default(),
      calls: Counters::default(),
      read_quota: TokenBucket::new(quotas.reads),
      write_quota: TokenBucket::new(quotas.writes),
      database: Mutex::default(),
      write_count: watch::Sender::new(0),
    });
    let stop = CancellationToken::new();
    let tasks = TaskTracker::new();
    let accept = accept(
      listener,
      Arc::clone(&state),
      Arc::clone(&state.faults),
      stop.clone(),
      tasks.clone(),
    );
    tasks.spawn(accept);
    tasks.spawn(expire(Arc::clone(&state), stop.clone()));
    Ok(Self {
      address,
      state,
      stop,
      tasks,
    })
  }

  /// Opens a further address of the stand-in.
  pub async fn add_entry(&self) -> io::Result<Entry> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let faults = Arc::<Faults>::default();
    let accept = accept(
      listener,
      Arc::clone(&self.state),
      Arc::clone(&faults),
      self.stop.clone(),
      self.tasks.clone(),
    );
    self.tasks.spawn(accept);
    Ok(Entry { address, faults })
  }

  /// Listening address.
  pub const fn address(&self) -> SocketAddr {
    self.address
  }

  /// Faults to inject.
  pub fn faults(&self) -> &Faults {
    &self.state.faults
  }

  /// Calls since the start.
  pub fn calls(&self) -> CallCounts {
    self.state.calls.snapshot()
  }

  /// The current value of a key, regardless of injected faults.
  pub fn value(&self, key: &str) -> Option<Bytes> {
    Some(self.state.database().get(key, 0)?.value.into())
  }

  /// Writes a key as an operator or another writer would, regardless of injected faults.
  pub fn write(&self, key: &str, value: impl Into<Bytes>) {
    let put = Put {
      key: key.to_owned(),
      value: value.into(),
      lease_id: 0,
    };
    let request = TxnRequest {
      puts: vec![put],
      ..TxnRequest::default()
    };
    // A write without conditions and leases cannot fail.
    drop(self.state.database().write(request));
    self.state.notify_watches();
  }

  /// Deletes a key without ending its lease.
  pub fn remove(&self, key: &str) {
    self.state.database().remove(key);
    self.state.notify_watches();
  }

  /// Drops all changes from the log, so that watches from earlier revisions fail.
  pub fn compact(&self) {
    self.state.database().compact();
    self.state.notify_watches();
  }

  /// Copy of everything in the store, for [`Platform::restore`].
  pub fn copy(&self) -> StoreCopy {
    StoreCopy(self.state.database().clone())
  }

  /// Goes back to a copy: all changes and leases since then are lost, and their numbers are given out
  /// again. Begins a new era.
  pub fn restore(&self, copy: StoreCopy) {
    self.state.database().restore(copy.0);
    self.state.notify_watches();
  }

  /// Keys that begin with `prefix`.
  pub fn keys(&self, prefix: &str) -> Vec<String> {
    let items = self.state.database().range(prefix, None, 0);
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
  fn database(&self) -> MutexGuard<'_, Database> {
    self.database.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Wakes the watches.
  fn notify_watches(&self) {
    self.write_count.send_modify(|count| *count += 1);
  }

  async fn handle(
    &self,
    request: Request<Incoming>,
    connection: &Connection,
  ) -> Result<HttpResponse, Error> {
    self.check_outage(connection).await?;
    sleep(self.faults.delay()).await;
    let mut response = self.route(request, connection).await?;
    let era = HeaderValue::from(self.database().era());
    response.headers_mut().insert(wire::ERA_HEADER, era);
    Ok(response)
  }

  async fn route(
    &self,
    request: Request<Incoming>,
    connection: &Connection,
  ) -> Result<HttpResponse, Error> {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    let query = head.uri.query().unwrap_or_default();
    let lease = |prefix| path.strip_prefix(prefix)?.parse::<u64>().ok();
    match (&head.method, path) {
      (&Method::GET, wire::KEY_PATH) => Ok(self.get(query)),
      (&Method::GET, wire::RANGE_PATH) => Ok(self.range(query)),
      (&Method::GET, wire::WATCH_PATH) => self.watch(query, connection).await,
      (&Method::POST, wire::TXN_PATH) => self.write(body).await,
      (&Method::POST, wire::LEASE_PATH) => Ok(self.grant(body).await),
      (&Method::POST, _) => Ok(lease(wire::RENEW_PATH).map_or_else(not_found, |id| self.renew(id))),
      (&Method::DELETE, _) => {
        Ok(lease(wire::LEASE_END_PATH).map_or_else(not_found, |id| self.end(id)))
      }
      _ => Ok(not_found()),
    }
  }

  fn get(&self, query: &str) -> HttpResponse {
    self.calls.gets.fetch_add(1, Relaxed);
    if !self.read_quota.take() {
      return self.refuse_over_quota();
    }
    let Ok(query) = serde_urlencoded::from_str::<KeyQuery>(query) else {
      return empty_response(StatusCode::BAD_REQUEST);
    };
    match self.database().get(&query.key, self.faults.lag()) {
      Some(item) => json_response(StatusCode::OK, &item),
      None => not_found(),
    }
  }

  fn range(&self, query: &str) -> HttpResponse {
    self.calls.gets.fetch_add(1, Relaxed);
    if !self.read_quota.take() {
      return self.refuse_over_quota();
    }
    let Ok(query) = serde_urlencoded::from_str::<RangeQuery>(query) else {
      return empty_response(StatusCode::BAD_REQUEST);
    };
    let database = self.database();
    let mut items = database.range(&query.prefix, query.after.as_deref(), self.faults.lag());
    let has_more = items.len() > PAGE_SIZE;
    items.truncate(PAGE_SIZE);
    let reply = RangeReply {
      items,
      has_more,
      at_rev: database.revision(),
    };
    json_response(StatusCode::OK, &reply)
  }

  async fn watch(&self, query: &str, connection: &Connection) -> Result<HttpResponse, Error> {
    self.calls.watches.fetch_add(1, Relaxed);
    if !self.read_quota.take() {
      return Ok(self.refuse_over_quota());
    }
    let Ok(query) = serde_urlencoded::from_str::<WatchQuery>(query) else {
      return Ok(empty_response(StatusCode::BAD_REQUEST));
    };
    let end = Instant::now() + Duration::from_millis(query.wait_ms);
    let mut write_count = self.write_count.subscribe();
    loop {
      self.check_outage(connection).await?;
      let outages = [self.faults.outage(), connection.entry.outage()];
      if outages.contains(&Outage::MuteWatches) {
        pending::<()>().await;
      }
      if let Some(response) = self.changes(&query, Instant::now() >= end) {
        return Ok(response);
      }
      let _ = timeout_at(
        end.min(Instant::now() + POLL_INTERVAL),
        write_count.changed(),
      )
      .await;
    }
  }

  /// Response to a watch once there are changes or its wait has expired.
  fn changes(&self, query: &WatchQuery, expired: bool) -> Option<HttpResponse> {
    let database = self.database();
    if self.faults.lag() > 0 {
      // A stale replica does not know the revision that the watch starts from.
      return Some(empty_response(StatusCode::GONE));
    }
    let Some(events) = database.changes(&query.prefix, query.after) else {
      return Some(empty_response(StatusCode::GONE));
    };
    if events.is_empty() && !expired {
      return None;
    }
    let reply = WatchReply {
      events,
      at_rev: database.revision().max(query.after),
    };
    Some(json_response(StatusCode::OK, &reply))
  }

  async fn write(&self, body: Incoming) -> Result<HttpResponse, Error> {
    self.calls.puts.fetch_add(1, Relaxed);
    if !self.write_quota.take() {
      return Ok(self.refuse_over_quota());
    }
    let Some(request) = read_json::<TxnRequest>(body).await else {
      return Ok(empty_response(StatusCode::BAD_REQUEST));
    };
    if request.puts.iter().any(|put| put.value.len() > MAX_VALUE) {
      return Ok(empty_response(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let result = self.database().write(request);
    let revision = match result {
      Ok(revision) => revision,
      Err(WriteError::Conflict(items)) => {
        let reply = ConflictReply { items };
        return Ok(json_response(StatusCode::PRECONDITION_FAILED, &reply));
      }
      Err(WriteError::NoLease) => return Ok(not_found()),
    };
    self.notify_watches();
    match self.faults.next_delivery() {
      Delivery::Sent => Ok(json_response(StatusCode::OK, &TxnReply { revision })),
      Delivery::Lost => Err(Error::other("the answer is lost")),
    }
  }

  async fn grant(&self, body: Incoming) -> HttpResponse {
    self.calls.leases.fetch_add(1, Relaxed);
    if !self.write_quota.take() {
      return self.refuse_over_quota();
    }
    let Some(request) = read_json::<LeaseRequest>(body).await else {
      return empty_response(StatusCode::BAD_REQUEST);
    };
    let lease_id = self.database().grant(request.ttl);
    let reply = LeaseReply {
      lease_id,
      ttl: request.ttl,
    };
    json_response(StatusCode::OK, &reply)
  }

  fn renew(&self, lease: u64) -> HttpResponse {
    self.calls.leases.fetch_add(1, Relaxed);
    if !self.read_quota.take() {
      return self.refuse_over_quota();
    }
    match self.database().renew(lease) {
      Some(ttl) => json_response(
        StatusCode::OK,
        &LeaseReply {
          lease_id: lease,
          ttl,
        },
      ),
      None => not_found(),
    }
  }

  fn end(&self, lease: u64) -> HttpResponse {
    self.calls.leases.fetch_add(1, Relaxed);
    self.database().end(lease);
    self.notify_watches();
    json_response(StatusCode::OK, &())
  }

  fn refuse_over_quota(&self) -> HttpResponse {
    self.calls.refused.fetch_add(1, Relaxed);
    empty_response(StatusCode::TOO_MANY_REQUESTS)
  }

  /// Fails during an outage, at once or when it ends; never returns on a silenced connection.
  async fn check_outage(&self, connection: &Connection) -> Result<(), Error> {
    if connection.generation < self.faults.generation() {
      pending::<()>().await;
    }
    self.faults.check_outage().await?;
    connection.entry.check_outage().await
  }
}

/// Ends leases whose time to live has passed, except during an outage.
async fn expire(state: Arc<State>, stop: CancellationToken) {
  let mut ticks = interval(POLL_INTERVAL);
  while stop.run_until_cancelled(ticks.tick()).await.is_some() {
    if state.faults.outage() == Outage::None && state.database().expire() {
      state.notify_watches();
    }
  }
}

async fn accept(
  listener: TcpListener,
  state: Arc<State>,
  entry: Arc<Faults>,
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
    tasks.spawn(serve(
      stream,
      Arc::clone(&state),
      Arc::clone(&entry),
      stop.clone(),
    ));
  }
}

async fn serve(stream: TcpStream, state: Arc<State>, entry: Arc<Faults>, stop: CancellationToken) {
  state.calls.connections.fetch_add(1, Relaxed);
  let connection = Connection {
    generation: state.faults.generation(),
    entry,
  };
  let service = service_fn(|request| state.handle(request, &connection));
  let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
  tokio::select! {
    _ = connection => {}
    () = stop.cancelled() => {}
  }
}
