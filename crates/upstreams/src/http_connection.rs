use {
  crate::{ConnectionState, RequestBody},
  hyper::client::conn::http1::SendRequest,
  std::{sync::Arc, time::Instant},
  tokio::task::AbortHandle,
};

/// Open HTTP/1.1 connection to the upstream; closed when dropped.
#[derive(Debug)]
pub(crate) struct HttpConnection {
  pub(crate) sender: SendRequest<RequestBody>,
  pub(crate) state: Arc<ConnectionState>,
  pub(crate) driver: AbortHandle,
  /// Time at which it was opened or its last call ended.
  pub(crate) last_used: Instant,
}

impl Drop for HttpConnection {
  fn drop(&mut self) {
    self.state.seal();
    self.driver.abort();
  }
}
