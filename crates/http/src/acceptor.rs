use {
  crate::{CallHandler, Connection, Limits, connection::refuse},
  std::{
    sync::Arc,
    time::{Duration, Instant},
  },
  tokio::{net::TcpStream, sync::Semaphore},
  tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Connections beyond the limit that are answered with 429 at the same time; further ones are
/// closed without an answer, so that refusals are bounded too.
const REFUSALS: usize = 64;

/// Time between two log lines on refused connections, of which there can be thousands a second.
const REPORT_PAUSE: Duration = Duration::from_secs(10);

/// Starts the connections of a listener, within its limit.
#[derive(Debug)]
pub(crate) struct Acceptor<H> {
  handler: Arc<H>,
  limits: Limits,
  shutdown: CancellationToken,
  tasks: TaskTracker,
  permits: Arc<Semaphore>,
  refusals: Arc<Semaphore>,
  refused: u64,
  reported: Option<Instant>,
}

impl<H: CallHandler> Acceptor<H> {
  pub(crate) fn new(handler: Arc<H>, limits: Limits, shutdown: CancellationToken) -> Self {
    Self {
      handler,
      limits,
      shutdown,
      tasks: TaskTracker::new(),
      permits: Arc::new(Semaphore::new(limits.connections)),
      refusals: Arc::new(Semaphore::new(REFUSALS)),
      refused: 0,
      reported: None,
    }
  }

  /// Serves a connection, or refuses it.
  pub(crate) fn start(&mut self, stream: TcpStream) {
    // Responses are written whole; waiting to merge small packets would only delay them.
    if let Err(error) = stream.set_nodelay(true) {
      tracing::debug!(%error, "caller connection without nodelay");
    }
    let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else {
      self.refuse(stream);
      return;
    };
    let connection = Connection {
      handler: Arc::clone(&self.handler),
      settings: self.limits,
      shutdown: self.shutdown.clone(),
    };
    self.tasks.spawn(async move {
      connection.run(stream).await;
      drop(permit);
    });
  }

  fn refuse(&mut self, stream: TcpStream) {
    self.refused += 1;
    let now = Instant::now();
    let due = self
      .reported
      .is_none_or(|reported| now.saturating_duration_since(reported) >= REPORT_PAUSE);
    if due {
      tracing::warn!(
        limit = self.limits.connections,
        refused = self.refused,
        "connections refused: the limit is reached"
      );
      self.reported = Some(now);
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
