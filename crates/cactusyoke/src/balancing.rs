use {
  serde::Deserialize,
  std::sync::atomic::{AtomicBool, Ordering::Relaxed},
};

/// How load is balanced among the instances of a service, as written in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BalancingMode {
  /// By the less loaded of two random instances; a call waits where it was sent.
  #[default]
  Sampled,
  /// In addition, an instance without a free slot hands a call back, so that it goes to another.
  Even,
  /// `Even` once an upstream of the deployment has stated the pace of its machine, else `Sampled`.
  Stated,
}

/// Balancing in force.
#[derive(Debug)]
pub(crate) struct Balancing {
  mode: BalancingMode,
  /// Whether an upstream has stated the pace of its machine.
  paced: AtomicBool,
}

impl Balancing {
  pub(crate) const fn new(mode: BalancingMode) -> Self {
    Self {
      mode,
      paced: AtomicBool::new(false),
    }
  }

  /// Records that an upstream stated the pace of its machine.
  pub(crate) fn record_paced(&self) {
    if !self.paced.load(Relaxed) && !self.paced.swap(true, Relaxed) {
      tracing::info!(event = "upstreams_state_pace");
    }
  }

  /// Whether an upstream of the deployment is known to state the pace of its machine.
  pub(crate) fn is_paced(&self) -> bool {
    self.paced.load(Relaxed)
  }

  /// True when an instance without a free slot hands calls back.
  pub(crate) fn is_even(&self) -> bool {
    match self.mode {
      BalancingMode::Sampled => false,
      BalancingMode::Even => true,
      BalancingMode::Stated => self.is_paced(),
    }
  }
}
