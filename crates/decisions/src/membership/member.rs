use {
  super::{Record, UpstreamState},
  cactusyoke_model::ServiceName,
  serde::{Deserialize, Serialize},
  std::time::Instant,
};

/// Reachability of a node; later variants override earlier ones within a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
  /// Answers probes, as far as known.
  Alive,
  /// Left a probe unanswered.
  Suspect,
  /// Suspected for too long.
  Dead,
  /// Left of its own accord.
  Left,
}

/// Record of a node with its reachability.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
  /// Record.
  pub record: Record,
  /// Reachability.
  pub status: Status,
  /// Time since which this node has known it with its present life cycle.
  pub since: Instant,
}

impl Member {
  /// Alive or suspected.
  pub const fn is_live(&self) -> bool {
    matches!(self.status, Status::Alive | Status::Suspect)
  }

  /// The service that the upstream of a live node serves, at full speed or in its cold start.
  pub fn serving(&self) -> Option<&ServiceName> {
    let serving = self.is_live()
      && matches!(
        self.record.state,
        UpstreamState::Warming | UpstreamState::Serving
      );
    self.record.service.as_ref().filter(|_| serving)
  }
}
