use {
  crate::{Crash, Views},
  cactusyoke_http::HeaderNames,
  cactusyoke_model::{Clock, SystemClock},
  std::{
    fmt::{self, Debug, Formatter},
    sync::Arc,
    time::Duration,
  },
};

/// How [`crate::Upstream`] reaches the upstream.
#[derive(Clone)]
pub struct UpstreamConfig {
  /// Where the upstream is and which phase it is in.
  pub views: Views,
  /// Source of time.
  pub clock: Arc<dyn Clock>,
  /// Time allowed to open a connection.
  pub connect_timeout: Duration,
  /// Shortest silence after which a connection may be taken out of use.
  pub min_silence: Duration,
  /// Idle connections are closed after this time.
  pub idle_timeout: Duration,
  /// Called before the failure of the crashed call is returned, or its body ends.
  pub on_crash: Arc<dyn Fn(Crash) + Send + Sync>,
  /// Names of the headers that it reads and sets.
  pub header_names: &'static HeaderNames,
}

impl UpstreamConfig {
  /// Usual settings, with crashes not reported.
  pub fn new(views: Views) -> Self {
    Self {
      views,
      clock: Arc::new(SystemClock),
      connect_timeout: Duration::from_secs(1),
      // The same time as for a link between nodes.
      min_silence: Duration::from_secs(3),
      idle_timeout: Duration::from_secs(30),
      on_crash: Arc::new(|_crash| {}),
      header_names: HeaderNames::own(),
    }
  }
}

impl Debug for UpstreamConfig {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    f.debug_struct("UpstreamConfig")
      .field("views", &self.views)
      .field("clock", &self.clock)
      .field("connect", &self.connect_timeout)
      .field("silence", &self.min_silence)
      .field("idle", &self.idle_timeout)
      .finish_non_exhaustive()
  }
}
