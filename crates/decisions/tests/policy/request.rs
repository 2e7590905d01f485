use {cactusyoke_model::Priority, std::time::Instant};

/// Attempt of a caller on its way through the chain.
pub struct Request {
  pub class: usize,
  pub priority: Priority,
  /// When the caller sent its first attempt.
  pub arrived: Instant,
  pub sent: Instant,
  pub answered: Option<Instant>,
  pub attempt: u32,
  pub entry: usize,
  pub servers: [usize; 3],
  pub sent_to: [Instant; 3],
  pub work: f64,
  /// End of the work at the current hop.
  pub work_end: Instant,
  /// Whether the caller has a response or has given up.
  pub ended: bool,
}
