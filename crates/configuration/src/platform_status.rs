use {cactusyoke_model::Revision, std::time::Instant};

/// How a node sees the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlatformStatus {
  /// True while a watch is held.
  pub watching: bool,
  /// Last successful read of the head.
  pub last_success: Option<Instant>,
  /// Why the last read failed; `None` when it succeeded.
  pub error: Option<String>,
  /// Revision that the platform serves where it is lower than the adopted one.
  pub stale_revision: Option<Revision>,
}
