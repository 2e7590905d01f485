/// How a call that a gate had started ended at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
  /// Complete response without a server error.
  Succeeded,
  /// Server error, lost connection or truncated response.
  Failed,
  /// Cancelled by the caller or by its deadline.
  Cancelled,
}
