use {
  crate::{ConnectionState, SentBody},
  hyper::client::conn::http1::SendRequest,
  std::{sync::Arc, time::Instant},
  tokio::task::AbortHandle,
};

/// Open connection; closed when dropped.
#[derive(Debug)]
pub(crate) struct Idle {
  pub(crate) sender: SendRequest<SentBody>,
  pub(crate) state: Arc<ConnectionState>,
  pub(crate) driver: AbortHandle,
  /// Time at which it was last used.
  pub(crate) since: Instant,
}

impl Drop for Idle {
  fn drop(&mut self) {
    self.state.seal();
    self.driver.abort();
  }
}
