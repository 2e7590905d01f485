use serde::{Deserialize, Serialize};

/// Time on the clock of a granter's process.
///
/// A node returns the stamp of the granter's last reply with its next request, and delegates its
/// share for a fixed time after the stamp. However long the request is under way or the granter is
/// paused, the delegation ends before the node delegates its share to another granter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
  /// Process of the granter.
  pub process: u64,
  /// Time since the start of the process, milliseconds, rounded down.
  pub at: u64,
}
