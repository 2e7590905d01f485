use {
  crate::{AskError, Hop, Incoming, LinkStats, LinksConfig},
  bytes::Bytes,
  cactusyoke_model::{Answer, Call, CallFailure, NodeId, NotRunReason},
  std::{sync::Arc, time::Duration},
  tokio::{net::TcpListener, sync::mpsc},
  tokio_util::sync::CancellationToken,
};

/// Links of this node to the others. Clones share the links.
#[derive(Clone, Debug)]
pub struct Links {
  stats: Arc<LinkStats>,
}

impl Links {
  /// Links of the node in `config`; none is open yet.
  pub fn new(_config: LinksConfig) -> Self {
    Self {
      stats: Arc::default(),
    }
  }

  /// Accepts links until `shutdown`, then refuses new calls and returns when the calls in flight
  /// have ended. Dropping the future closes the accepted links.
  pub async fn listen(
    self,
    _listener: TcpListener,
    _incoming: mpsc::Sender<Incoming>,
    shutdown: CancellationToken,
  ) {
    shutdown.cancelled().await;
  }

  /// Calls the instance beside `node`. Dropping the future cancels the call.
  pub async fn call(&self, node: NodeId, call: Call) -> Result<Answer, CallFailure> {
    self.call_with(node, call, Hop::Instance).await
  }

  /// Sends a call to `node`, which takes it to `hop`. Dropping the future cancels the call.
  pub async fn call_with(
    &self,
    _node: NodeId,
    _call: Call,
    _hop: Hop,
  ) -> Result<Answer, CallFailure> {
    Err(CallFailure::not_run(NotRunReason::Connection))
  }

  /// Sends a control message and waits for its reply.
  pub async fn ask(
    &self,
    node: NodeId,
    _body: Bytes,
    _timeout: Duration,
  ) -> Result<Bytes, AskError> {
    Err(AskError::Connection { node })
  }

  /// Counters.
  pub fn stats(&self) -> &LinkStats {
    &self.stats
  }
}
