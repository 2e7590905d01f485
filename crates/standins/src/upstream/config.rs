use {
  crate::upstream::{RunLog, ServiceTime},
  cactusyoke_model::{Connections, ServiceName, Slots},
  http::Method,
  std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Call that the stand-in makes through its node for each request of a path.
#[derive(Clone, Debug)]
pub struct NestedCall {
  /// Path prefix of the requests that cause the call.
  pub parent: String,
  /// HTTP method.
  pub method: Method,
  /// Path and query.
  pub path: String,
}

/// Configuration of a stand-in.
#[derive(Debug)]
pub struct Config {
  /// Announced service.
  pub service: ServiceName,
  /// Requests that run at once; announced.
  pub slots: Slots,
  /// Announced connections; the stand-in does not limit them.
  pub connections: Connections,
  /// Time for which a request holds its slot.
  pub service_time: ServiceTime,
  /// Time after a start in which requests take [`Config::cold_factor`] times as long; announced.
  pub cold_start: Duration,
  /// Factor on service times during the cold start.
  pub cold_factor: f64,
  /// Announcement listener of the node; `None` for a stand-in that does not announce itself.
  pub announce: Option<SocketAddr>,
  /// Time between two announcements.
  pub renewal_interval: Duration,
  /// Egress listener of the node, for [`Config::nested_calls`].
  pub egress: Option<SocketAddr>,
  /// Calls to other services, in order.
  pub nested_calls: Vec<NestedCall>,
  /// Received requests by tag; shared by the stand-ins of a test.
  pub runs: Arc<RunLog>,
}

impl Config {
  /// Stand-in that answers at once and does not announce itself.
  pub fn new(service: ServiceName) -> Self {
    Self {
      service,
      slots: Slots(100),
      connections: Connections(200),
      service_time: ServiceTime::Fixed(Duration::ZERO),
      cold_start: Duration::ZERO,
      cold_factor: 4.0,
      announce: None,
      renewal_interval: Duration::from_secs(1),
      egress: None,
      nested_calls: Vec::new(),
      runs: Arc::default(),
    }
  }
}
