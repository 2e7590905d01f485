use {
  cactusyoke_decisions::keys::{KEY_MEMORY, RunId},
  cactusyoke_model::IdempotencyKey,
  std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
  },
};

/// Counts runs of each key.
#[derive(Debug, Default)]
pub struct Oracle {
  runs: BTreeMap<IdempotencyKey, Vec<(RunId, Instant)>>,
  not_run: BTreeSet<RunId>,
  violation: Option<String>,
}

impl Oracle {
  pub fn ran(&mut self, key: &IdempotencyKey, run: RunId, now: Instant) {
    if self.not_run.contains(&run) {
      self.violate(format!("{run} ran after it was reported as not run"));
    }
    let runs = self.runs.entry(key.clone()).or_default();
    let earlier = runs
      .iter()
      .find(|(_, at)| now.saturating_duration_since(*at) < KEY_MEMORY)
      .map(|(earlier, _)| *earlier);
    runs.push((run, now));
    if let Some(earlier) = earlier {
      self.violate(format!("`{key}` ran as {earlier} and as {run}"));
    }
  }

  pub fn not_run(&mut self, run: RunId) {
    if self.runs.values().flatten().any(|(ran, _)| *ran == run) {
      self.violate(format!("{run} was reported as not run after it ran"));
    }
    self.not_run.insert(run);
  }

  pub fn runs(&self, key: &IdempotencyKey) -> usize {
    self.runs.get(key).map_or(0, Vec::len)
  }

  pub fn violation(&self) -> Option<&str> {
    self.violation.as_deref()
  }

  pub fn violate(&mut self, violation: String) {
    self.violation.get_or_insert(violation);
  }
}
