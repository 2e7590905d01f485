use {crate::Retries, std::time::Duration};

/// Load settings for configuration formats that cannot express them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadPolicy {
  /// Retry allowance of a whole call tree.
  pub tree_retries: Retries,
  /// Maximum time in a queue.
  pub queue_wait: Duration,
  /// Maximum share of retries among the calls of a node to one route, percent.
  pub retry_ratio: u8,
}

impl Default for LoadPolicy {
  fn default() -> Self {
    Self {
      // The attempts limit of the route bounds each call as well.
      tree_retries: Retries(8),
      // A request that may not wait any longer is refused at once.
      queue_wait: Duration::from_millis(150),
      // Not limited here: the retry budget shared by all nodes limits retries instead.
      retry_ratio: 100,
    }
  }
}
