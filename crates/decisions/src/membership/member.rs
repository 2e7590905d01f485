use {
  super::{MemberRecord, UpstreamState},
  cactusyoke_model::ServiceName,
  serde::{Deserialize, Serialize},
  std::time::Instant,
};

/// Reachability of a node; within a record version, later variants override earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
  /// Answers probes, as far as this node knows.
  Alive,
  /// Did not answer a probe.
  Suspect,
  /// Did not refute the suspicion in time.
  Dead,
  /// Announced that it leaves.
  Left,
}

/// Record of a node with its status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
  /// Record.
  pub record: MemberRecord,
  /// Status.
  pub status: Status,
  /// Time at which this node learned of the current state of the member's upstream.
  pub since: Instant,
}

impl Member {
  /// True when the node is alive or suspected.
  pub const fn is_live(&self) -> bool {
    matches!(self.status, Status::Alive | Status::Suspect)
  }

  /// Service of the upstream if the node is live and its upstream is warming or serving.
  pub fn served_service(&self) -> Option<&ServiceName> {
    let serving = self.is_live()
      && matches!(
        self.record.state,
        UpstreamState::Warming | UpstreamState::Serving
      );
    self.record.service.as_ref().filter(|_| serving)
  }
}
