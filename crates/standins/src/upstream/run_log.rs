use std::{
  collections::HashMap,
  sync::{Mutex, MutexGuard},
  time::Duration,
};

/// Header that names a request for [`RunLog`].
pub const TAG_HEADER: &str = "x-request-tag";

/// What happened to the requests with one tag.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunCounts {
  /// Requests received; each may have had an effect.
  pub started: u32,
  /// Requests whose work was finished.
  pub finished: u32,
  /// Time for which they held a slot.
  pub slot_time: Duration,
}

/// Runs by request tag, as the stand-ins saw them: what callers are told is compared with it.
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

  /// Runs of the requests with this tag.
  pub fn of(&self, tag: &str) -> RunCounts {
    self.tags().get(tag).copied().unwrap_or_default()
  }

  /// Runs by tag.
  pub fn all(&self) -> HashMap<String, RunCounts> {
    self.tags().clone()
  }

  pub(crate) fn start(&self, tag: &str) {
    self.change(tag, |runs| runs.started += 1);
  }

  pub(crate) fn work(&self, tag: &str, time: Duration) {
    self.change(tag, |runs| runs.slot_time += time);
  }

  pub(crate) fn finish(&self, tag: &str) {
    self.change(tag, |runs| runs.finished += 1);
  }

  fn change(&self, tag: &str, change: impl FnOnce(&mut RunCounts)) {
    let mut tags = self.tags();
    if let Some(runs) = tags.get_mut(tag) {
      change(runs);
      return;
    }
    change(tags.entry(tag.to_owned()).or_default());
  }
}
