use {
  crate::{
    ConnectionState, Driver, PooledConnection, SilenceDetector, TcpLiveness, TrackedIo,
    UpstreamConfig,
    announce::{Announcement, PROBE_TIMEOUT},
    head_scanner::HeadScanner,
    http_connection::HttpConnection,
  },
  cactusyoke_model::{Connections, NotRunReason, Slots},
  http::HeaderValue,
  hyper::client::conn::http1::Builder,
  hyper_util::rt::TokioIo,
  std::{
    collections::VecDeque,
    io,
    sync::{
      Arc, Mutex, MutexGuard,
      atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
  },
  tokio::{
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{self, timeout},
  },
};

/// Size of a connection's read buffer, which also limits the head of an answer.
const BUFFER_BYTES: usize = 64 * 1024;

/// Connection pool for one announced upstream.
#[derive(Debug)]
pub(crate) struct Pool {
  config: UpstreamConfig,
  announcement: Announcement,
  /// Limit of connections for calls, from the last announcement.
  max_connections: AtomicUsize,
  /// Connections still to be closed after the limit was lowered; above 0, connections are closed
  /// at the end of their call instead of going back to `idle`.
  excess: Arc<AtomicUsize>,
  /// One permit for each call that uses a connection.
  call_permits: Arc<Semaphore>,
  /// One permit for each open connection, returned when its socket is closed.
  connection_permits: Arc<Semaphore>,
  idle: Mutex<VecDeque<HttpConnection>>,
  silence_detector: Mutex<SilenceDetector>,
  /// Time for which the upstream keeps idle connections open, from its `keep-alive` header.
  keep_alive_ms: AtomicU64,
  /// An answer without `content-length` or `transfer-encoding` was logged; one line for each
  /// announced upstream is enough.
  framing_reported: AtomicBool,
  /// An answer that states an unreadable rate was logged.
  rate_reported: AtomicBool,
}

/// Limit of connections for calls: one of the announced connections stays free for `GET /health`
/// and `GET /load`.
fn call_connections(announced: Connections) -> usize {
  announced.0.saturating_sub(1).max(1) as usize
}

impl Pool {
  pub(crate) fn new(config: UpstreamConfig, announcement: Announcement) -> Self {
    let limit = call_connections(announcement.connections);
    let silence_detector = Mutex::new(SilenceDetector::new(config.min_silence));
    Self {
      config,
      announcement,
      max_connections: AtomicUsize::new(limit),
      excess: Arc::default(),
      call_permits: Arc::new(Semaphore::new(limit)),
      connection_permits: Arc::new(Semaphore::new(limit)),
      idle: Mutex::new(VecDeque::new()),
      silence_detector,
      keep_alive_ms: AtomicU64::new(u64::MAX),
      framing_reported: AtomicBool::new(false),
      rate_reported: AtomicBool::new(false),
    }
  }

  /// True when the pool connects to this upstream.
  pub(crate) fn matches(&self, announcement: &Announcement) -> bool {
    self.announcement.address == announcement.address
      && self.announcement.instance == announcement.instance
  }

  /// Applies the limit of a renewed announcement. A lower limit takes effect as running calls end;
  /// until then, new calls wait.
  pub(crate) fn resize(&self, connections: Connections) {
    let limit = call_connections(connections);
    let before = self.max_connections.swap(limit, Ordering::SeqCst);
    if limit > before {
      self.connection_permits.add_permits(limit - before);
      self.call_permits.add_permits(limit - before);
      return;
    }
    if limit == before {
      return;
    }
    let removed = before - limit;
    self.excess.fetch_add(removed, Ordering::SeqCst);
    // Idle connections hold connection permits.
    self.idle().clear();
    let (call_permits, connection_permits) = (
      Arc::clone(&self.call_permits),
      Arc::clone(&self.connection_permits),
    );
    let excess = Arc::clone(&self.excess);
    tokio::spawn(async move {
      if let Ok(permits) = connection_permits.acquire_many_owned(removed as u32).await {
        permits.forget();
      }
      excess.fetch_sub(removed, Ordering::SeqCst);
    });
    tokio::spawn(async move {
      if let Ok(permits) = call_permits.acquire_many_owned(removed as u32).await {
        permits.forget();
      }
    });
  }

  pub(crate) fn announcement(&self) -> &Announcement {
    &self.announcement
  }

  pub(crate) fn config(&self) -> &UpstreamConfig {
    &self.config
  }

  pub(crate) fn silence_detector(&self) -> MutexGuard<'_, SilenceDetector> {
    self
      .silence_detector
      .lock()
      .expect("no thread panics while it holds the lock")
  }

  /// True when the upstream, which has answered other calls since `since`, cannot be at work on a
  /// call that was sent before: it runs one call at a time, or has stated since then that none is
  /// in flight.
  pub(crate) fn excludes_work(&self, since: Instant) -> bool {
    if self.announcement.slots == Slots(1) {
      return true;
    }
    let load = self.config.view_handle.load().hints.load;
    load.is_some_and(|load| load.value == 0 && load.received >= since + PROBE_TIMEOUT)
  }

  /// True on the first call only, so that one answer without `content-length` or
  /// `transfer-encoding` is logged.
  pub(crate) fn claim_framing_report(&self) -> bool {
    !self.framing_reported.swap(true, Ordering::Relaxed)
  }

  /// True on the first call only, so that one answer that states an unreadable rate is logged.
  pub(crate) fn claim_rate_report(&self) -> bool {
    !self.rate_reported.swap(true, Ordering::Relaxed)
  }

  fn idle(&self) -> MutexGuard<'_, VecDeque<HttpConnection>> {
    self
      .idle
      .lock()
      .expect("no thread panics while it holds the lock")
  }

  /// Fails calls that wait for a connection, and closes idle connections.
  pub(crate) fn close(&self) {
    self.call_permits.close();
    self.idle().clear();
  }

  /// Takes an idle connection that a call with this id may use, or opens a new one.
  pub(crate) async fn acquire(
    self: &Arc<Self>,
    id: Option<&HeaderValue>,
    deadline: time::Instant,
  ) -> Result<PooledConnection, NotRunReason> {
    let permit = Arc::clone(&self.call_permits)
      .acquire_owned()
      .await
      .map_err(|_closed| NotRunReason::NoUpstream)?;
    loop {
      let Some(mut idle) = self.take_idle(id) else {
        break;
      };
      if self
        .config
        .clock
        .now()
        .saturating_duration_since(idle.last_used)
        > self.idle_timeout()
      {
        continue;
      }
      // The connection may never become ready if the upstream answered the previous request
      // without reading all of it.
      let ready = timeout(self.config.connect_timeout, idle.sender.ready()).await;
      if matches!(ready, Ok(Ok(()))) {
        return Ok(PooledConnection::new(
          idle,
          Arc::clone(self),
          permit,
          true,
          deadline,
        ));
      }
    }
    self.connect(permit, deadline).await
  }

  /// Most recently used connection that a call with this id may use: it is the least likely to have
  /// been closed by the upstream.
  fn take_idle(&self, id: Option<&HeaderValue>) -> Option<HttpConnection> {
    let mut idle = self.idle();
    let index = idle.iter().rposition(|connection| connection.accepts(id))?;
    idle.remove(index)
  }

  /// Opens a new connection.
  pub(crate) async fn connect(
    self: &Arc<Self>,
    permit: OwnedSemaphorePermit,
    deadline: time::Instant,
  ) -> Result<PooledConnection, NotRunReason> {
    let connection_permit = Arc::clone(&self.connection_permits)
      .acquire_owned()
      .await
      .map_err(|_closed| NotRunReason::NoUpstream)?;
    let address = self.announcement.address;
    let stream = match timeout(self.config.connect_timeout, TcpStream::connect(address)).await {
      Ok(Ok(stream)) => stream,
      Ok(Err(error)) => {
        tracing::debug!(%address, %error, "upstream connection failed");
        if error.kind() == io::ErrorKind::ConnectionRefused {
          self.config.view_handle.report_refused(address);
        }
        return Err(NotRunReason::Connection);
      }
      Err(_elapsed) => {
        tracing::debug!(%address, "upstream connection timed out");
        return Err(NotRunReason::Connection);
      }
    };
    // Nagle's algorithm would only delay requests, which are written as a whole.
    if let Err(error) = stream.set_nodelay(true) {
      tracing::debug!(%address, %error, "cannot set TCP_NODELAY on an upstream connection");
    }
    let mut liveness = TcpLiveness::default();
    if let Err(error) = liveness.start(&stream) {
      tracing::debug!(%address, %error, "cannot detect a broken upstream connection");
    }
    let state = Arc::new(ConnectionState::new(Arc::clone(&self.config.clock)));
    let io = TokioIo::new(TrackedIo {
      stream,
      state: Arc::clone(&state),
      liveness,
      write_failed: false,
      flushed: true,
      scanner: HeadScanner::default(),
    });
    let (sender, connection) = Builder::new()
      .max_buf_size(BUFFER_BYTES)
      .handshake(io)
      .await
      .map_err(|_error| NotRunReason::Connection)?;
    let driver = Driver::new(connection, Arc::clone(&state), connection_permit);
    let driver = tokio::spawn(async move {
      if let Err(error) = driver.await {
        tracing::debug!(%address, %error, "upstream connection ended");
      }
    });
    let connection = HttpConnection {
      sender,
      state,
      driver: driver.abort_handle(),
      last_used: self.config.clock.now(),
      refused: Vec::new(),
    };
    Ok(PooledConnection::new(
      connection,
      Arc::clone(self),
      permit,
      false,
      deadline,
    ))
  }

  /// Stores the time for which the upstream keeps idle connections open.
  pub(crate) fn set_keep_alive(&self, keep_alive: Duration) {
    self
      .keep_alive_ms
      .store(keep_alive.as_millis() as u64, Ordering::Relaxed);
  }

  /// Time after which an idle connection is not reused: at most half of the time for which the
  /// upstream keeps it open, so that the upstream does not close it at the moment of its reuse.
  fn idle_timeout(&self) -> Duration {
    let keep_alive = Duration::from_millis(self.keep_alive_ms.load(Ordering::Relaxed));
    self.config.idle_timeout.min(keep_alive / 2)
  }

  /// Keeps a connection for later calls, and closes those that have been idle for too long.
  pub(crate) fn put_back(&self, mut connection: HttpConnection, now: Instant) {
    connection.last_used = now;
    let mut idle = self.idle();
    if self.call_permits.is_closed() || self.excess.load(Ordering::SeqCst) > 0 {
      return;
    }
    idle.push_back(connection);
    let limit = self.idle_timeout();
    while idle
      .front()
      .is_some_and(|oldest| now.saturating_duration_since(oldest.last_used) > limit)
    {
      idle.pop_front();
    }
  }
}
