use {crate::Retries, std::time::Duration};

/// Load policy for configurations in a format that does not state one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadPolicy {
  /// Retries of a whole call tree.
  pub tree_retries: Retries,
  /// Longest wait in a queue.
  pub queue_wait: Duration,
  /// Share of calls on one edge that may be retries, percent.
  pub retry_ratio: u8,
}

impl Default for LoadPolicy {
  fn default() -> Self {
    Self {
      // Each call is bounded by the attempts of its route, too.
      tree_retries: Retries(8),
      // A request that may not wait longer is told so at once.
      queue_wait: Duration::from_millis(150),
      // The budget that all nodes share bounds the retries instead.
      retry_ratio: 100,
    }
  }
}
