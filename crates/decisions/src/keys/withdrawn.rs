use {
  crate::keys::RunId,
  std::collections::{BTreeSet, VecDeque},
};

/// Runs remembered as withdrawn. Beyond it the oldest is forgotten: a claim that arrives later
/// still then holds its key until its member is asked.
const LIMIT: usize = 4096;

/// The last runs that certified that they did not and will not run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Withdrawn {
  order: VecDeque<RunId>,
  runs: BTreeSet<RunId>,
}

impl Withdrawn {
  pub fn contains(&self, run: RunId) -> bool {
    self.runs.contains(&run)
  }

  pub fn insert(&mut self, run: RunId) {
    if !self.runs.insert(run) {
      return;
    }
    self.order.push_back(run);
    if self.order.len() > LIMIT
      && let Some(oldest) = self.order.pop_front()
    {
      self.runs.remove(&oldest);
    }
  }
}
