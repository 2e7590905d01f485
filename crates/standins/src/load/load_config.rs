use {
  crate::load::{ClassLoad, Progress},
  std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Part of the rate trace, at a constant rate.
#[derive(Clone, Copy, Debug)]
pub struct Segment {
  /// Length.
  pub duration: Duration,
  /// Requests per second.
  pub rate: f64,
}

/// What the load generator sends.
#[derive(Clone, Debug)]
pub struct LoadConfig {
  /// Nodes; each request goes to a random one.
  pub targets: Vec<SocketAddr>,
  /// Mix of classes.
  pub classes: Vec<ClassLoad>,
  /// Rates over time, one segment after another.
  pub trace: Vec<Segment>,
  /// Seed of arrival times, classes and targets.
  pub seed: u64,
  /// Most requests sent, not counting retries.
  pub max_requests: u64,
  /// Counts to read while the load runs.
  pub progress: Arc<Progress>,
}
