use {
  crate::{ConnectionState, RequestBody},
  http::HeaderValue,
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
  /// Ids of the requests that the upstream refused on it.
  pub(crate) refused: Vec<HeaderValue>,
}

impl HttpConnection {
  /// True when a call with this id may use the connection. The upstream may write an earlier refusal
  /// once more, which could not be told from one of this call.
  pub(crate) fn accepts(&self, id: Option<&HeaderValue>) -> bool {
    id.is_none_or(|id| !self.refused.contains(id))
  }
}

impl Drop for HttpConnection {
  fn drop(&mut self) {
    self.state.seal();
    self.driver.abort();
  }
}
