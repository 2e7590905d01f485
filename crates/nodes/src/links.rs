use {
  crate::{
    ControlError, Hop, Incoming, LinkStats, LinksConfig, MAX_CONTROL_MESSAGE,
    link::{LinkError, OpenError, accept},
    peers::Peers,
  },
  bytes::Bytes,
  cactusyoke_model::{Answer, Call, CallFailure, NodeId, NotRunReason},
  std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering::Relaxed},
    time::{Duration, Instant},
  },
  tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::JoinSet,
    time::{sleep, timeout, timeout_at},
  },
  tokio_util::sync::CancellationToken,
};

/// Links tried for one call. Another is tried only when the one before was closed before the call
/// was opened on it.
const OPEN_ATTEMPTS: usize = 2;
/// Pause after a failed accept. Without it, accepting would fail in a busy loop while file
/// descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Links between this node and the others. Clones share the links; dropping the last clone closes
/// those that this node opened.
#[derive(Clone, Debug)]
pub struct Links {
  config: Arc<LinksConfig>,
  stats: Arc<LinkStats>,
  peers: Arc<Peers>,
}

impl Links {
  /// Links of the node in `config`; none is open yet.
  pub fn new(config: LinksConfig) -> Self {
    let config = Arc::new(config);
    let stats = Arc::<LinkStats>::default();
    Self {
      peers: Arc::new(Peers::new(Arc::clone(&config), Arc::clone(&stats))),
      config,
      stats,
    }
  }

  /// Accepts links until `shutdown` is cancelled, then refuses new calls and returns when the calls
  /// in flight have ended. Dropping the future closes the accepted links.
  pub async fn listen(
    self,
    listener: TcpListener,
    incoming: mpsc::Sender<Incoming>,
    shutdown: CancellationToken,
  ) {
    let mut tasks = JoinSet::new();
    loop {
      let accepted = tokio::select! {
        () = shutdown.cancelled() => break,
        Some(_) = tasks.join_next() => continue,
        accepted = listener.accept() => accepted,
      };
      match accepted {
        Ok((_, from)) if tasks.len() >= self.config.max_links => {
          tracing::warn!(%from, limit = self.config.max_links, "too many links");
        }
        Ok((socket, from)) => {
          let (incoming, shutdown) = (incoming.clone(), shutdown.clone());
          let (config, stats) = (Arc::clone(&self.config), Arc::clone(&self.stats));
          tasks.spawn(serve(socket, from, config, stats, incoming, shutdown));
        }
        Err(error) => {
          tracing::warn!(%error, "accepting a connection failed");
          sleep(ACCEPT_PAUSE).await;
        }
      }
    }
    drop(listener);
    while tasks.join_next().await.is_some() {}
  }

  /// Calls the instance of `node`. Dropping the future, or the body of the answer, cancels the
  /// call.
  pub async fn call(&self, node: NodeId, call: Call) -> Result<Answer, CallFailure> {
    self.call_with(node, call, Hop::Instance).await
  }

  /// Sends a call to `node`, which forwards it to `hop`. Dropping the future, or the body of the
  /// answer, cancels the call.
  pub async fn call_with(
    &self,
    node: NodeId,
    mut call: Call,
    hop: Hop,
  ) -> Result<Answer, CallFailure> {
    let deadline = call.head.deadline;
    if deadline <= Instant::now() {
      return Err(CallFailure::not_run(NotRunReason::Deadline));
    }
    for _ in 0..OPEN_ATTEMPTS {
      let link = match timeout_at(deadline.into(), self.peers.link(node)).await {
        Ok(Some(link)) => link,
        Ok(None) => break,
        Err(_elapsed) => return Err(CallFailure::not_run(NotRunReason::Deadline)),
      };
      match link.open(call, hop) {
        Ok(pending) => return pending.outcome().await,
        Err(OpenError::Closed(returned)) => call = *returned,
        Err(OpenError::Limit) => return Err(CallFailure::not_run(NotRunReason::Limit)),
      }
    }
    Err(CallFailure::not_run(NotRunReason::Connection))
  }

  /// Sends a control message of at most [`MAX_CONTROL_MESSAGE`] bytes and waits for its reply.
  pub async fn send_control(
    &self,
    node: NodeId,
    body: Bytes,
    limit: Duration,
  ) -> Result<Bytes, ControlError> {
    if body.len() > MAX_CONTROL_MESSAGE {
      return Err(ControlError::Oversized { len: body.len() });
    }
    let reply = async {
      let link = self.peers.link(node).await;
      let link = link.ok_or(ControlError::Connection { node })?;
      link.send_control(node, body).await
    };
    let after = limit;
    timeout(limit, reply)
      .await
      .unwrap_or(Err(ControlError::Timeout { node, after }))
  }

  /// Counters shared by all links of this node.
  pub fn stats(&self) -> &LinkStats {
    &self.stats
  }
}

async fn serve(
  socket: TcpStream,
  from: SocketAddr,
  config: Arc<LinksConfig>,
  stats: Arc<LinkStats>,
  incoming: mpsc::Sender<Incoming>,
  shutdown: CancellationToken,
) {
  match accept(socket, config, Arc::clone(&stats)).await {
    Ok(connection) => connection.run_acceptor(incoming, shutdown).await,
    Err(error) => {
      if matches!(error, LinkError::Frame(_)) {
        stats.protocol_errors.fetch_add(1, Relaxed);
      }
      tracing::warn!(%from, %error, "handshake on an accepted connection failed");
    }
  }
}
