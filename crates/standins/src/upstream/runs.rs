use std::{
  collections::HashMap,
  sync::{Mutex, MutexGuard},
  time::Duration,
};

/// Header that names a request for [`Runs`].
pub const TAG_HEADER: &str = "x-request-tag";

/// What happened to the requests with one tag.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TagRuns {
  /// Requests received; each may have had an effect.
  pub started: u32,
  /// Requests whose work was finished.
  pub finished: u32,
  /// Time for which they held a slot.
  pub work: Duration,
}

/// Runs by request tag, as the stand-ins saw them: what callers are told is compared with it.
#[derive(Debug, Default)]
pub struct Runs {
  tags: Mutex<HashMap<String, TagRuns>>,
}

impl Runs {
  fn tags(&self) -> MutexGuard<'_, HashMap<String, TagRuns>> {
    self
      .tags
      .lock()
      .expect("no thread panics while it holds the lock")
  }

  /// Runs of the requests with this tag.
  pub fn of(&self, tag: &str) -> TagRuns {
    self.tags().get(tag).copied().unwrap_or_default()
  }

  /// Runs by tag.
  pub fn all(&self) -> HashMap<String, TagRuns> {
    self.tags().clone()
  }

  pub(crate) fn start(&self, tag: &str) {
    self.change(tag, |runs| runs.started += 1);
  }

  pub(crate) fn work(&self, tag: &str, time: Duration) {
    self.change(tag, |runs| runs.work += time);
  }

  pub(crate) fn finish(&self, tag: &str) {
    self.change(tag, |runs| runs.finished += 1);
  }

  fn change(&self, tag: &str, change: impl FnOnce(&mut TagRuns)) {
    let mut tags = self.tags();
    if let Some(runs) = tags.get_mut(tag) {
      change(runs);
      return;
    }
    change(tags.entry(tag.to_owned()).or_default());
  }
}
