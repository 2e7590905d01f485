use {
  cactusyoke_decisions::keys::{KEY_MEMORY, RunId},
  cactusyoke_model::IdempotencyKey,
  std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
  },
};

/// Records the runs of each key and finds violations of at-most-once execution.
#[derive(Debug, Default)]
pub struct Oracle {
  runs: BTreeMap<IdempotencyKey, Vec<(RunId, Instant)>>,
  not_run: BTreeSet<RunId>,
  violation: Option<String>,
  highest_epoch: u64,
  held: usize,
}

impl Oracle {
  pub fn record_run(&mut self, key: &IdempotencyKey, run: RunId, epoch: u64, now: Instant) {
    self.highest_epoch = self.highest_epoch.max(epoch);
    if self.not_run.contains(&run) {
      self.record_violation(format!("{run} ran after it was reported as not run"));
    }
    let runs = self.runs.entry(key.clone()).or_default();
    let earlier = runs
      .iter()
      .find(|(_, at)| now.saturating_duration_since(*at) < KEY_MEMORY)
      .map(|(earlier, _)| *earlier);
    runs.push((run, now));
    if let Some(earlier) = earlier {
      self.record_violation(format!("`{key}` ran as {earlier} and as {run}"));
    }
  }

  pub fn record_not_run(&mut self, run: RunId) {
    if self.runs.values().flatten().any(|(ran, _)| *ran == run) {
      self.record_violation(format!("{run} was reported as not run after it ran"));
    }
    self.not_run.insert(run);
  }

  pub fn runs(&self, key: &IdempotencyKey) -> usize {
    self.runs.get(key).map_or(0, Vec::len)
  }

  /// Highest epoch under which a run happened.
  pub fn highest_epoch(&self) -> u64 {
    self.highest_epoch
  }

  /// Runs that were withdrawn because another run held the key.
  pub fn held(&self) -> usize {
    self.held
  }

  pub fn record_held(&mut self) {
    self.held += 1;
  }

  pub fn violation(&self) -> Option<&str> {
    self.violation.as_deref()
  }

  pub fn record_violation(&mut self, violation: String) {
    self.violation.get_or_insert(violation);
  }
}
