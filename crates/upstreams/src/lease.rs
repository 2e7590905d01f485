use {
  crate::{ConnectionState, Pool, SentBody, idle::Idle},
  cactusyoke_model::NotRunReason,
  http::{Request, Response},
  hyper::{body::Incoming, client::conn::TrySendError},
  std::{mem, sync::Arc},
  tokio::{sync::OwnedSemaphorePermit, time::Instant},
};

/// Connection in use by one call; closed when dropped, unless released.
#[derive(Debug)]
pub(crate) struct Lease {
  // Declared before the permit, so that the connection is back or closing when the next call
  // takes the permit.
  connection: Idle,
  pool: Arc<Pool>,
  permit: OwnedSemaphorePermit,
  reused: bool,
  deadline: Instant,
}

impl Lease {
  pub(crate) fn new(
    connection: Idle,
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

  /// The connection carried calls before this one.
  pub(crate) const fn is_reused(&self) -> bool {
    self.reused
  }

  pub(crate) fn send(
    &mut self,
    request: Request<SentBody>,
  ) -> impl Future<Output = Result<Response<Incoming>, TrySendError<Request<SentBody>>>> + use<> {
    self.connection.sender.try_send_request(request)
  }

  /// Replaces the connection by a new one.
  pub(crate) async fn replace(self) -> Result<Self, NotRunReason> {
    let Self {
      connection,
      pool,
      permit,
      reused: _,
      deadline,
    } = self;
    drop(connection);
    pool.connect(permit, deadline).await
  }

  /// Returns the connection for the next call, if both bodies have ended.
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
