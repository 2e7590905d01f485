use {
  crate::keys::RunId,
  std::collections::{BTreeSet, VecDeque},
};

/// Withdrawn runs remembered; beyond it the oldest is forgotten. A claim of a forgotten run that
/// arrives later is granted, and holds the key until the process of the run is asked.
const MAX_RUNS: usize = 4096;

/// The last runs that were withdrawn.
#[derive(Clone, Debug, Default)]
pub(crate) struct WithdrawnRuns {
  order: VecDeque<RunId>,
  runs: BTreeSet<RunId>,
}

impl WithdrawnRuns {
  pub fn contains(&self, run: RunId) -> bool {
    self.runs.contains(&run)
  }

  pub fn insert(&mut self, run: RunId) {
    if !self.runs.insert(run) {
      return;
    }
    self.order.push_back(run);
    if self.order.len() > MAX_RUNS
      && let Some(oldest) = self.order.pop_front()
    {
      self.runs.remove(&oldest);
    }
  }
}
