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

/// Times and forms of the announcement protocol.
#[derive(Clone, Debug)]
pub struct AnnounceConfig {
  /// Source of time.
  pub clock: Arc<dyn Clock>,
  /// An upstream is gone when it has not renewed its announcement for this time.
  pub renewal_timeout: Duration,
  /// A warning is logged when nothing has been announced this long after the start.
  pub warn_after: Duration,
  /// Time between two reads of `GET /health` and `GET /load`; `None` for an upstream without them.
  pub hint_interval: Option<Duration>,
  /// Address of the instance, on which the listener may be beside a loopback address.
  pub instance_address: Option<IpAddr>,
  /// Reads what the upstream sends.
  pub reader: Arc<dyn NoticeReader>,
  /// How an announced upstream is checked before its first call.
  pub check: Check,
}

/// Check of an announced upstream before its first call.
#[derive(Clone, Debug)]
pub enum Check {
  /// It accepts a connection.
  Connect,
  /// It says that it is healthy, and that it is the announced process. A late announcement of a
  /// process that leaves would otherwise bring it calls again, after a restart of the node.
  Health(HealthCheck),
}

/// Finds the path of the health by service.
pub type HealthPath = Arc<dyn Fn(&ServiceName) -> Option<String> + Send + Sync>;

/// Request for the health of an upstream.
#[derive(Clone)]
pub struct HealthCheck {
  /// Path by service; `None` while it is not known.
  pub path: HealthPath,
  /// Header of the answer that names the process.
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
      // A probe costs the upstream up to 6 ms, so that two every two seconds take 0.6% of a slot.
      hint_interval: Some(Duration::from_secs(2)),
      instance_address: None,
      reader: Arc::new(NativeReader),
      check: Check::Connect,
    }
  }
}
