use {
  crate::Core,
  cactusyoke_model::{NodeId, ServiceName},
};

/// Call that was counted as sent to an instance. Dropped before its end, because its caller
/// disconnected, it is counted as cancelled; otherwise the sender's count of calls in flight would
/// stay too high.
pub(crate) struct SentCall<'a> {
  core: &'a Core,
  service: &'a ServiceName,
  node: NodeId,
  ended: bool,
}

impl<'a> SentCall<'a> {
  pub(crate) const fn new(core: &'a Core, service: &'a ServiceName, node: NodeId) -> Self {
    Self {
      core,
      service,
      node,
      ended: false,
    }
  }

  /// Marks the call as ended; its outcome is recorded elsewhere.
  pub(crate) fn ended(mut self) {
    self.ended = true;
  }
}

impl Drop for SentCall<'_> {
  fn drop(&mut self) {
    if !self.ended {
      self
        .core
        .load_control
        .record_cancelled(self.service, self.node);
    }
  }
}
