use {crate::keys::KEY_MEMORY, cactusyoke_model::ByteSize, std::time::Duration};

/// Bounds on what a node keeps of the keys that it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerLimits {
  /// Size of all kept answers.
  pub total: ByteSize,
  /// Size of one kept answer.
  pub single: ByteSize,
  /// Time for which an answer is kept.
  pub keep: Duration,
  /// Time for which it is known that a key ran; that of the preset in force.
  pub memory: Duration,
  /// Keys known at once.
  pub keys: usize,
}

impl Default for AnswerLimits {
  fn default() -> Self {
    Self {
      total: ByteSize(16 << 20),
      single: ByteSize(1 << 20),
      keep: Duration::from_mins(10),
      memory: KEY_MEMORY,
      keys: 100_000,
    }
  }
}
