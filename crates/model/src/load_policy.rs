use {crate::Retries, std::time::Duration};

/// Load settings for configurations whose format has no fields for them.
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
      // The attempts of the route limit each call as well, and the retry budget that all nodes share
      // limits repeats. Half of the allowance is kept back at each level of the tree: with 16, calls
      // three levels down had one retry each, and few requests completed while a service refused
      // half of its calls.
      tree_retries: Retries(1024),
      // A request that has waited this long is refused.
      queue_wait: Duration::from_millis(150),
      // Not limited here: the retry budget shared by all nodes limits retries instead.
      retry_ratio: 100,
    }
  }
}
