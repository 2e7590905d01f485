use {
  cactusyoke_model::{Clock, SystemClock},
  std::{sync::Arc, time::Duration},
};

/// Times of the announcement protocol.
#[derive(Clone, Debug)]
pub struct AnnounceConfig {
  /// Source of time.
  pub clock: Arc<dyn Clock>,
  /// An upstream is gone when it has not renewed its announcement for this time.
  pub renewal: Duration,
  /// A warning is logged when nothing has been announced this long after the start.
  pub first: Duration,
  /// Time between two reads of `GET /health` and `GET /load`.
  pub hints: Duration,
}

impl Default for AnnounceConfig {
  fn default() -> Self {
    Self {
      clock: Arc::new(SystemClock),
      renewal: Duration::from_secs(5),
      first: Duration::from_secs(10),
      // A probe costs the upstream up to 6 ms, so that two every two seconds take 0.6% of a slot.
      hints: Duration::from_secs(2),
    }
  }
}
