/// How a call that was started at the upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
  /// Whole response.
  Succeeded,
  /// Server error, lost connection or cut response.
  Failed,
  /// Cancelled by the caller or by its deadline.
  Cancelled,
}
