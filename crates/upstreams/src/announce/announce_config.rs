use {
  crate::announce::{NativeReader, NoticeReader},
  cactusyoke_model::{Clock, ServiceName, SystemClock},
  http::HeaderName,
  std::{
    fmt::{self, Debug, Formatter},
    net::IpAddr,
    sync::Arc,
    time::Duration,
  },
};

/// Timeouts and protocol of the announcement listener.
#[derive(Clone, Debug)]
pub struct AnnounceConfig {
  /// Source of time.
  pub clock: Arc<dyn Clock>,
  /// An upstream counts as gone when it has not renewed its announcement for this time.
  pub renewal_timeout: Duration,
  /// Time after the start at which a warning is logged if nothing has been announced.
  pub warn_after: Duration,
  /// Interval of polling `GET /health` and `GET /load`; `None` for an upstream without them.
  pub hint_interval: Option<Duration>,
  /// Address of the instance: the only one that the listener may use besides loopback.
  pub instance_address: Option<IpAddr>,
  /// Parser of the requests of the upstream.
  pub reader: Arc<dyn NoticeReader>,
  /// Check that an announced upstream must pass before its first call.
  pub check: Check,
}

/// Check that an announced upstream must pass before its first call.
#[derive(Clone, Debug)]
pub enum Check {
  /// It accepts a connection.
  Connect,
  /// It reports that it is healthy and that it is the announced process. Without this check, after
  /// a restart of the node, a late announcement of a leaving process would bring it calls again.
  Health(HealthCheck),
}

/// Returns the path of a service's health check.
pub type HealthPath = Arc<dyn Fn(&ServiceName) -> Option<String> + Send + Sync>;

/// How to request the health of an upstream.
#[derive(Clone)]
pub struct HealthCheck {
  /// Path for a service; the function returns `None` while it is not known.
  pub path: HealthPath,
  /// Response header that identifies the process.
  pub instance_header: HeaderName,
}

impl Debug for HealthCheck {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    f.debug_struct("HealthCheck")
      .field("instance", &self.instance_header)
      .finish_non_exhaustive()
  }
}

impl Default for AnnounceConfig {
  fn default() -> Self {
    Self {
      clock: Arc::new(SystemClock),
      renewal_timeout: Duration::from_secs(5),
      warn_after: Duration::from_secs(10),
      // A probe costs the upstream up to 6 ms, so two probes every 2 s take 0.6% of a slot.
      hint_interval: Some(Duration::from_secs(2)),
      instance_address: None,
      reader: Arc::new(NativeReader),
      check: Check::Connect,
    }
  }
}
