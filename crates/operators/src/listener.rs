//! HTTP listener for operators.
//!
//! | request | answer |
//! |---|---|
//! | `GET /status` | [`crate::StatusView`] |
//! | `GET /config` | [`crate::ConfigView`] |
//! | `GET /preset` | the presets of `GET /config` |
//! | `GET /preset/NAME` | [`crate::PresetView`] |
//! | `PUT /preset/NAME` | takes a [`crate::PutRequest`], answers [`crate::AcceptedChange`] |
//! | `POST /preset/use` | takes a [`crate::UseRequest`], answers [`crate::AcceptedChange`] |
//! | `GET /audit?since=..&until=..&preset=..&operator=..&limit=..` | [`crate::AuditRecord`]s, newest first |
//! | `POST /drain`, `POST /undrain` | takes a [`crate::Attribution`] |
//! | `GET /quarantine` | [`crate::QuarantineView`]s |
//! | `DELETE /quarantine/ID` | takes a [`crate::Attribution`] |
//! | `GET /metrics` | metrics as Prometheus text |
//! | `GET /healthz` | 200 while the process runs |
//! | `GET /readyz` | 200 while the node takes calls, else 503 |
//!
//! Requests that change something need `authorization: Bearer TOKEN`. A failure is answered with
//! `{ "error": .., "message": .. }`, where `error` is a [`NodeError`].

use {
  crate::{Handler, Metrics, Node, OperatorLimits, Token},
  hyper::{server::conn::http1, service::service_fn},
  hyper_util::rt::{TokioIo, TokioTimer},
  std::{net::SocketAddr, sync::Arc, time::Duration},
  tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::{sleep, timeout},
  },
  tokio_util::{sync::CancellationToken, task::TaskTracker},
  tracing::{debug, warn},
};

#[cfg(doc)]
use crate::NodeError;

/// Pause after a failed accept: one for lack of file descriptors would fail again at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves operators until `shutdown` is cancelled, then finishes the requests in progress.
pub async fn serve(
  listener: TcpListener,
  node: Arc<dyn Node>,
  metrics: Arc<Metrics>,
  token: Option<Token>,
  limits: OperatorLimits,
  shutdown: CancellationToken,
) {
  let handler = Arc::new(Handler::new(node, metrics, token, limits.body_bytes));
  let connections = Arc::new(Semaphore::new(limits.connections));
  let tasks = TaskTracker::new();
  loop {
    let accepted = tokio::select! {
      accepted = listener.accept() => accepted,
      () = shutdown.cancelled() => break,
    };
    let (stream, peer) = match accepted {
      Ok(accepted) => accepted,
      Err(error) => {
        warn!(%error, "operator connection not accepted");
        sleep(ACCEPT_PAUSE).await;
        continue;
      }
    };
    let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
      warn!(%peer, limit = limits.connections, "operator connection refused, too many are open");
      continue;
    };
    let connection = serve_connection(stream, peer, Arc::clone(&handler), limits, shutdown.clone());
    tasks.spawn(async move {
      connection.await;
      drop(permit);
    });
  }
  tasks.close();
  if timeout(limits.request_time, tasks.wait()).await.is_err() {
    warn!("operator requests cut off at shutdown");
  }
}

async fn serve_connection(
  stream: TcpStream,
  peer: SocketAddr,
  handler: Arc<Handler>,
  limits: OperatorLimits,
  shutdown: CancellationToken,
) {
  let service = service_fn(|request| {
    let handler = Arc::clone(&handler);
    async move { handler.handle(request, peer, limits.request_time).await }
  });
  let connection = http1::Builder::new()
    .timer(TokioTimer::new())
    .header_read_timeout(limits.header_time)
    .max_buf_size(limits.header_bytes)
    .serve_connection(TokioIo::new(stream), service);
  tokio::pin!(connection);
  let result = tokio::select! {
    result = &mut connection => result,
    () = shutdown.cancelled() => {
      connection.as_mut().graceful_shutdown();
      connection.await
    }
  };
  if let Err(error) = result {
    debug!(%peer, %error, "operator connection ended");
  }
}
