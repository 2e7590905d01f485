use {
  crate::{CallHandler, Connection, Limits, connection::refuse},
  cactusyoke_memory::MemoryAccount,
  std::{
    sync::Arc,
    time::{Duration, Instant},
  },
  tokio::{net::TcpStream, sync::Semaphore},
  tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Connections above the limit that are answered with 429 at the same time. Further ones are closed
/// without an answer, so that refusals are bounded too.
const MAX_REFUSALS: usize = 64;

/// Shortest time between two log lines on refused connections, of which there can be thousands a
/// second.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Spawns a task for each connection of a listener, up to the connection limit.
#[derive(Debug)]
pub(crate) struct Acceptor<H> {
  handler: Arc<H>,
  limits: Limits,
  memory: Arc<MemoryAccount>,
  shutdown: CancellationToken,
  tasks: TaskTracker,
  connections: Arc<Semaphore>,
  refusals: Arc<Semaphore>,
  /// Connections refused since the last log line.
  refused: u64,
  logged_at: Option<Instant>,
}

impl<H: CallHandler> Acceptor<H> {
  pub(crate) fn new(handler: Arc<H>, limits: Limits, shutdown: CancellationToken) -> Self {
    Self {
      memory: handler.memory(),
      handler,
      limits,
      shutdown,
      tasks: TaskTracker::new(),
      connections: Arc::new(Semaphore::new(limits.connections)),
      refusals: Arc::new(Semaphore::new(MAX_REFUSALS)),
      refused: 0,
      logged_at: None,
    }
  }

  /// Serves a connection, or refuses it when the limit is reached.
  pub(crate) fn start(&mut self, stream: TcpStream) {
    // Responses are written whole; waiting to merge small packets would only delay them.
    if let Err(error) = stream.set_nodelay(true) {
      tracing::debug!(%error, "cannot set TCP_NODELAY on a caller connection");
    }
    let Ok(permit) = Arc::clone(&self.connections).try_acquire_owned() else {
      self.refuse(stream);
      return;
    };
    let connection = Connection {
      handler: Arc::clone(&self.handler),
      initial_limits: self.limits,
      memory: Arc::clone(&self.memory),
      shutdown: self.shutdown.clone(),
    };
    self.tasks.spawn(async move {
      connection.run(stream).await;
      drop(permit);
    });
  }

  /// Answers with 429 or closes the connection, with at most one log line per [`LOG_INTERVAL`].
  fn refuse(&mut self, stream: TcpStream) {
    self.refused += 1;
    let now = Instant::now();
    let due = self
      .logged_at
      .is_none_or(|logged_at| now.saturating_duration_since(logged_at) >= LOG_INTERVAL);
    if due {
      tracing::warn!(
        limit = self.limits.connections,
        refused = self.refused,
        "connections refused: the limit is reached"
      );
      self.logged_at = Some(now);
      self.refused = 0;
    }
    let Ok(permit) = Arc::clone(&self.refusals).try_acquire_owned() else {
      return;
    };
    let limits = self.limits;
    let shutdown = self.shutdown.clone();
    self.tasks.spawn(async move {
      refuse(stream, limits, &shutdown).await;
      drop(permit);
    });
  }

  /// Waits until every connection is closed.
  pub(crate) async fn finish(self) {
    self.tasks.close();
    self.tasks.wait().await;
  }
}
