use std::{
  collections::HashMap,
  sync::{Mutex, MutexGuard},
  time::Duration,
};

/// Header with the tag of a request in the [`RunLog`].
pub const TAG_HEADER: &str = "x-request-tag";

/// Counts of the requests with one tag.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunCounts {
  /// Requests received; each may have had an effect.
  pub started: u32,
  /// Requests answered with a 2xx status.
  pub finished: u32,
  /// Total time for which they held a slot.
  pub slot_time: Duration,
}

/// Requests that the stand-ins received, by tag, for comparison with the outcomes that callers see.
#[derive(Debug, Default)]
pub struct RunLog {
  tags: Mutex<HashMap<String, RunCounts>>,
}

impl RunLog {
  fn tags(&self) -> MutexGuard<'_, HashMap<String, RunCounts>> {
    self
      .tags
      .lock()
      .expect("no thread panics while it holds the lock")
  }

  /// Counts of the requests with this tag.
  pub fn of(&self, tag: &str) -> RunCounts {
    self.tags().get(tag).copied().unwrap_or_default()
  }

  /// Counts by tag.
  pub fn all(&self) -> HashMap<String, RunCounts> {
    self.tags().clone()
  }

  pub(crate) fn record_start(&self, tag: &str) {
    self.update(tag, |runs| runs.started += 1);
  }

  pub(crate) fn record_slot_time(&self, tag: &str, time: Duration) {
    self.update(tag, |runs| runs.slot_time += time);
  }

  pub(crate) fn record_finish(&self, tag: &str) {
    self.update(tag, |runs| runs.finished += 1);
  }

  fn update(&self, tag: &str, update: impl FnOnce(&mut RunCounts)) {
    let mut tags = self.tags();
    if let Some(runs) = tags.get_mut(tag) {
      update(runs);
      return;
    }
    update(tags.entry(tag.to_owned()).or_default());
  }
}
