use {
  crate::{ConnectionState, Pool, RequestBody, http_connection::HttpConnection},
  cactusyoke_model::NotRunReason,
  http::{HeaderValue, Request, Response},
  hyper::{body::Incoming, client::conn::TrySendError},
  std::{mem, sync::Arc},
  tokio::{
    sync::OwnedSemaphorePermit,
    time::{Instant, timeout_at},
  },
};

/// Number of refusals on one connection after which it is closed, which bounds the ids that it keeps.
const MAX_REFUSED: usize = 64;

/// Pooled connection in use by one call; closed when dropped, unless released.
#[derive(Debug)]
pub(crate) struct PooledConnection {
  // Dropped before `permit`, so that the connection is already closing when the next call takes
  // the permit.
  connection: HttpConnection,
  pool: Arc<Pool>,
  permit: OwnedSemaphorePermit,
  reused: bool,
  deadline: Instant,
}

impl PooledConnection {
  pub(crate) fn new(
    connection: HttpConnection,
    pool: Arc<Pool>,
    permit: OwnedSemaphorePermit,
    reused: bool,
    deadline: Instant,
  ) -> Self {
    connection.state.begin_call(deadline);
    Self {
      connection,
      pool,
      permit,
      reused,
      deadline,
    }
  }

  pub(crate) const fn pool(&self) -> &Arc<Pool> {
    &self.pool
  }

  pub(crate) const fn state(&self) -> &Arc<ConnectionState> {
    &self.connection.state
  }

  /// True when the connection has carried earlier calls.
  pub(crate) const fn is_reused(&self) -> bool {
    self.reused
  }

  pub(crate) fn send(
    &mut self,
    request: Request<RequestBody>,
  ) -> impl Future<Output = Result<Response<Incoming>, TrySendError<Request<RequestBody>>>> + use<>
  {
    self.connection.sender.try_send_request(request)
  }

  /// Replaces the connection with a new one, within the time of the call.
  pub(crate) async fn reconnect(self) -> Result<Self, NotRunReason> {
    let Self {
      connection,
      pool,
      permit,
      reused: _,
      deadline,
    } = self;
    drop(connection);
    timeout_at(deadline, pool.connect(permit, deadline))
      .await
      .unwrap_or(Err(NotRunReason::Deadline))
  }

  /// Like [`PooledConnection::release`], after the upstream refused the request with this id.
  pub(crate) fn release_refused(mut self, id: Option<&HeaderValue>) {
    let refused = &mut self.connection.refused;
    refused.extend(id.cloned());
    if refused.len() <= MAX_REFUSED {
      self.release();
    }
  }

  /// Returns the connection to the pool if the request body was sent to its end, else closes it.
  /// Called when the answer has been read to its end.
  pub(crate) fn release(self) {
    let Self {
      connection,
      pool,
      permit,
      reused: _,
      deadline: _,
    } = self;
    connection.state.end_call();
    if connection.state.is_body_sent() && !connection.sender.is_closed() {
      pool.put_back(connection, pool.config().clock.now());
    } else {
      mem::drop(connection);
    }
    mem::drop(permit);
  }
}
