use {
  crate::{Hints, Phase, announce::Announcement},
  std::time::Instant,
};

/// Snapshot of the upstream beside the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamView {
  /// Place in the life cycle.
  pub phase: Phase,
  /// Time at which the phase began.
  pub since: Instant,
  /// Last announcement; `None` before the first.
  pub announcement: Option<Announcement>,
  /// What the upstream says of itself.
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
