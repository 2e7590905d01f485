use {
  crate::{
    load::{Attempt, AttemptOutcome, ClassCounts, Sample},
    upstream::RunLog,
  },
  std::collections::BTreeMap,
};

/// Outcomes of all requests, as the callers saw them.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
  /// Counts by class name.
  pub classes: BTreeMap<String, ClassCounts>,
  /// All attempts.
  pub attempts: Vec<Attempt>,
  /// All requests.
  pub samples: Vec<Sample>,
}

impl LoadReport {
  /// Tags of attempts that were reported as not run although an upstream received them.
  pub fn wrongly_not_run(&self, runs: &RunLog) -> Vec<&str> {
    let not_run = self
      .attempts
      .iter()
      .filter(|attempt| attempt.outcome == AttemptOutcome::NotRun);
    not_run
      .map(|attempt| attempt.tag.as_str())
      .filter(|tag| runs.of(tag).started > 0)
      .collect()
  }

  /// Requests of a class that upstreams received more than once, counted over all attempts.
  pub fn run_twice(&self, class: &str, runs: &RunLog) -> Vec<String> {
    let mut started = BTreeMap::<&str, u32>::new();
    for attempt in &self.attempts {
      let request = attempt
        .tag
        .rsplit_once('.')
        .map_or(attempt.tag.as_str(), |(request, _attempt)| request);
      let of_class = request
        .rsplit_once('-')
        .is_some_and(|(name, _number)| name == class);
      if of_class {
        *started.entry(request).or_default() += runs.of(&attempt.tag).started;
      }
    }
    started.retain(|_request, started| *started > 1);
    started.into_keys().map(str::to_owned).collect()
  }
}
