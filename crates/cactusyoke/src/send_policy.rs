use {
  cactusyoke_model::{Preset, Route},
  std::time::Duration,
};

/// Limits on sending the calls of a route.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendPolicy {
  /// The call may go to another data centre.
  pub(crate) spill: bool,
  /// Share of retries among the calls of the route, percent.
  pub(crate) retry_ratio: u8,
  /// Maximum number of upstreams that may receive the call.
  pub(crate) attempts: u32,
  /// Target latency, within which an answer is worth most.
  pub(crate) target: Duration,
}

impl SendPolicy {
  pub(crate) fn of(route: &Route, preset: &Preset) -> Self {
    Self {
      spill: route.spill,
      retry_ratio: preset.retry_ratio,
      attempts: route.attempts,
      target: route.target,
    }
  }
}
