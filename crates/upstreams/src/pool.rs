use {
  crate::{
    ConnectionState, Driver, Lease, SilenceDetector, TrackedIo, UpstreamConfig,
    announce::Announcement, idle::Idle,
  },
  cactusyoke_model::{Connections, NotRunReason},
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

/// Read buffer of a connection, bytes; also the longest head of an answer.
const BUFFER: usize = 64 * 1024;

/// Connections to one announced upstream.
#[derive(Debug)]
pub(crate) struct Pool {
  config: UpstreamConfig,
  announcement: Announcement,
  /// Connections for calls, as last announced.
  bound: AtomicUsize,
  /// Connections to be closed, instead of kept, until a lower bound is reached.
  excess: Arc<AtomicUsize>,
  /// One permit per call that uses a connection.
  busy: Arc<Semaphore>,
  /// One permit per connection, returned when its socket is closed.
  open: Arc<Semaphore>,
  idle: Mutex<VecDeque<Idle>>,
  silence: Mutex<SilenceDetector>,
  /// Time for which the upstream keeps idle connections open, milliseconds.
  kept: AtomicU64,
  /// An answer without an end was reported; one line for each announced upstream is enough.
  reported: AtomicBool,
}

/// Connections that calls may use: one of the announced ones is left for `GET /health` and
/// `GET /load`.
fn call_connections(announced: Connections) -> usize {
  announced.0.saturating_sub(1).max(1) as usize
}

impl Pool {
  pub(crate) fn new(config: UpstreamConfig, announcement: Announcement) -> Self {
    let bound = call_connections(announcement.connections);
    let silence = Mutex::new(SilenceDetector::new(config.min_silence));
    Self {
      config,
      announcement,
      bound: AtomicUsize::new(bound),
      excess: Arc::default(),
      busy: Arc::new(Semaphore::new(bound)),
      open: Arc::new(Semaphore::new(bound)),
      idle: Mutex::new(VecDeque::new()),
      silence,
      kept: AtomicU64::new(u64::MAX),
      reported: AtomicBool::new(false),
    }
  }

  /// True when the pool connects to the announced upstream.
  pub(crate) fn serves(&self, announcement: &Announcement) -> bool {
    self.announcement.address == announcement.address
      && self.announcement.instance == announcement.instance
  }

  /// Applies the bound of a renewed announcement. A lower one takes effect as calls end; further
  /// calls wait meanwhile.
  pub(crate) fn resize(&self, connections: Connections) {
    let bound = call_connections(connections);
    let before = self.bound.swap(bound, Ordering::SeqCst);
    if bound > before {
      self.open.add_permits(bound - before);
      self.busy.add_permits(bound - before);
      return;
    }
    if bound == before {
      return;
    }
    let removed = before - bound;
    self.excess.fetch_add(removed, Ordering::SeqCst);
    // Idle connections count as open.
    self.idle().clear();
    let (busy, open) = (Arc::clone(&self.busy), Arc::clone(&self.open));
    let excess = Arc::clone(&self.excess);
    tokio::spawn(async move {
      if let Ok(permits) = open.acquire_many_owned(removed as u32).await {
        permits.forget();
      }
      excess.fetch_sub(removed, Ordering::SeqCst);
    });
    tokio::spawn(async move {
      if let Ok(permits) = busy.acquire_many_owned(removed as u32).await {
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

  pub(crate) fn silence(&self) -> MutexGuard<'_, SilenceDetector> {
    self
      .silence
      .lock()
      .expect("no thread panics while it holds the lock")
  }

  /// True for the first answer without an end.
  pub(crate) fn report_once(&self) -> bool {
    !self.reported.swap(true, Ordering::Relaxed)
  }

  fn idle(&self) -> MutexGuard<'_, VecDeque<Idle>> {
    self
      .idle
      .lock()
      .expect("no thread panics while it holds the lock")
  }

  /// Refuses calls that wait for a connection, and closes idle connections.
  pub(crate) fn close(&self) {
    self.busy.close();
    self.idle().clear();
  }

  /// An idle connection, or a new one.
  pub(crate) async fn lease(
    self: &Arc<Self>,
    deadline: time::Instant,
  ) -> Result<Lease, NotRunReason> {
    let permit = Arc::clone(&self.busy)
      .acquire_owned()
      .await
      .map_err(|_closed| NotRunReason::NoUpstream)?;
    loop {
      // The most recently used connection is the least likely to be closed by the upstream.
      let idle = self.idle().pop_back();
      let Some(mut idle) = idle else {
        break;
      };
      if self
        .config
        .clock
        .now()
        .saturating_duration_since(idle.since)
        > self.idle_limit()
      {
        continue;
      }
      // An upstream that answered without reading the whole request may never read the rest.
      let ready = timeout(self.config.connect_timeout, idle.sender.ready()).await;
      if matches!(ready, Ok(Ok(()))) {
        return Ok(Lease::new(idle, Arc::clone(self), permit, true, deadline));
      }
    }
    self.connect(permit, deadline).await
  }

  /// A new connection.
  pub(crate) async fn connect(
    self: &Arc<Self>,
    permit: OwnedSemaphorePermit,
    deadline: time::Instant,
  ) -> Result<Lease, NotRunReason> {
    let open = Arc::clone(&self.open)
      .acquire_owned()
      .await
      .map_err(|_closed| NotRunReason::NoUpstream)?;
    let address = self.announcement.address;
    let stream = match timeout(self.config.connect_timeout, TcpStream::connect(address)).await {
      Ok(Ok(stream)) => stream,
      Ok(Err(error)) => {
        tracing::debug!(%address, %error, "upstream connection failed");
        if error.kind() == io::ErrorKind::ConnectionRefused {
          self.config.views.refused(address);
        }
        return Err(NotRunReason::Connection);
      }
      Err(_elapsed) => {
        tracing::debug!(%address, "upstream connection timed out");
        return Err(NotRunReason::Connection);
      }
    };
    // Requests are written whole; waiting to merge small packets would only delay them.
    if let Err(error) = stream.set_nodelay(true) {
      tracing::debug!(%address, %error, "upstream connection without nodelay");
    }
    let state = Arc::new(ConnectionState::new(Arc::clone(&self.config.clock)));
    let io = TokioIo::new(TrackedIo {
      stream,
      state: Arc::clone(&state),
      broken: false,
    });
    let (sender, connection) = Builder::new()
      .max_buf_size(BUFFER)
      .handshake(io)
      .await
      .map_err(|_error| NotRunReason::Connection)?;
    let driver = Driver::new(connection, Arc::clone(&state), open);
    let driver = tokio::spawn(async move {
      if let Err(error) = driver.await {
        tracing::debug!(%address, %error, "upstream connection ended");
      }
    });
    let idle = Idle {
      sender,
      state,
      driver: driver.abort_handle(),
      since: self.config.clock.now(),
    };
    Ok(Lease::new(idle, Arc::clone(self), permit, false, deadline))
  }

  /// Takes note of the time for which the upstream keeps idle connections open.
  pub(crate) fn note_kept(&self, kept: Duration) {
    self.kept.store(kept.as_millis() as u64, Ordering::Relaxed);
  }

  /// Time after which an idle connection is not used again: a part of the time for which the
  /// upstream keeps it, so that it is not closed at the moment of its use.
  fn idle_limit(&self) -> Duration {
    let kept = Duration::from_millis(self.kept.load(Ordering::Relaxed));
    self.config.idle_timeout.min(kept / 2)
  }

  /// Keeps a connection for the next call.
  pub(crate) fn put_back(&self, mut connection: Idle, now: Instant) {
    connection.since = now;
    let mut idle = self.idle();
    if self.busy.is_closed() || self.excess.load(Ordering::SeqCst) > 0 {
      return;
    }
    idle.push_back(connection);
    let limit = self.idle_limit();
    while idle
      .front()
      .is_some_and(|oldest| now.saturating_duration_since(oldest.since) > limit)
    {
      idle.pop_front();
    }
  }
}
