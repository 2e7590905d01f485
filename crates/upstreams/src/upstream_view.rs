use {
  crate::{Hints, Phase, announce::Announcement},
  std::time::Instant,
};

/// Snapshot of the state of the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamView {
  /// Phase of the lifecycle.
  pub phase: Phase,
  /// Time at which the phase began.
  pub since: Instant,
  /// Last announcement; `None` before the first.
  pub announcement: Option<Announcement>,
  /// Health and load that the upstream reports.
  pub hints: Hints,
}

impl UpstreamView {
  /// View before the first announcement.
  pub const fn absent(now: Instant) -> Self {
    Self {
      phase: Phase::Gone,
      since: now,
      announcement: None,
      hints: Hints {
        health: None,
        load: None,
      },
    }
  }
}
