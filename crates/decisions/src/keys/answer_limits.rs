use {cactusyoke_model::ByteSize, std::time::Duration};

/// Limits on the runs and answers that a node remembers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerLimits {
  /// Size of all kept answers.
  pub total: ByteSize,
  /// Size of one kept answer.
  pub single: ByteSize,
  /// Time for which an ended run and its answer are kept.
  pub retention: Duration,
  /// Keys known at once; beyond it, the run that ended first is forgotten.
  pub keys: usize,
}

impl Default for AnswerLimits {
  fn default() -> Self {
    Self {
      total: ByteSize(16 << 20),
      single: ByteSize(1 << 20),
      retention: Duration::from_mins(10),
      keys: 50_000,
    }
  }
}
