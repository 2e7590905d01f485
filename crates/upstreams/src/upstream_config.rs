use {
  crate::{LostConnection, StatedRate, ViewHandle},
  cactusyoke_http::HeaderNames,
  cactusyoke_model::{Clock, SystemClock},
  std::{
    fmt::{self, Debug, Formatter},
    sync::Arc,
    time::Duration,
  },
};

/// Settings of the [`crate::Upstream`] client.
#[derive(Clone)]
pub struct UpstreamConfig {
  /// Address and phase of the upstream.
  pub view_handle: ViewHandle,
  /// Source of time.
  pub clock: Arc<dyn Clock>,
  /// Time limit for opening a connection.
  pub connect_timeout: Duration,
  /// Shortest silence after which the connection of a waiting call may be closed.
  pub min_silence: Duration,
  /// Idle connections are not reused after this time.
  pub idle_timeout: Duration,
  /// Called when the connection of a call is lost, before the call or the body of its answer
  /// returns the error.
  pub on_lost_connection: Arc<dyn Fn(LostConnection) + Send + Sync>,
  /// Called with what each answer says about the rate of requests, before the call returns.
  pub on_stated_rate: Arc<dyn Fn(StatedRate) + Send + Sync>,
  /// Called for each answer that states the pace of the upstream's machine.
  pub on_stated_pace: Arc<dyn Fn() + Send + Sync>,
  /// Names of the headers that the client reads and sets.
  pub header_names: &'static HeaderNames,
}

impl UpstreamConfig {
  /// Default settings; lost connections and stated rates are not reported.
  pub fn new(view_handle: ViewHandle) -> Self {
    Self {
      view_handle,
      clock: Arc::new(SystemClock),
      connect_timeout: Duration::from_secs(1),
      // The same time as for links between nodes.
      min_silence: Duration::from_secs(3),
      idle_timeout: Duration::from_secs(30),
      on_lost_connection: Arc::new(|_lost| {}),
      on_stated_rate: Arc::new(|_stated| {}),
      on_stated_pace: Arc::new(|| {}),
      header_names: HeaderNames::native(),
    }
  }
}

impl Debug for UpstreamConfig {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    f.debug_struct("UpstreamConfig")
      .field("views", &self.view_handle)
      .field("clock", &self.clock)
      .field("connect", &self.connect_timeout)
      .field("silence", &self.min_silence)
      .field("idle", &self.idle_timeout)
      .finish_non_exhaustive()
  }
}
