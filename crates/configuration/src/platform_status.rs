use {cactusyoke_model::Revision, std::time::Instant};

/// State of the platform as a node sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlatformStatus {
  /// True while the node watches the platform.
  pub watching: bool,
  /// Time of the last successful read of the head.
  pub last_success: Option<Instant>,
  /// Why the last read failed; `None` if it succeeded.
  pub error: Option<String>,
  /// Revision that the platform serves, if it is lower than the adopted one.
  pub stale_revision: Option<Revision>,
}
