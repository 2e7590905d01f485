//! Bound on the log lines of events that come with requests.

use std::{
  sync::{Mutex, PoisonError},
  time::{Duration, Instant},
};

/// Lines of one kind in one period; the rest is counted.
const LINES: u32 = 20;

/// Period.
const PERIOD: Duration = Duration::from_secs(1);

/// Whether a line may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
  /// It may; so many were left out before.
  Write { omitted: u32 },
  /// It is left out.
  Omit,
}

#[derive(Debug, Default)]
struct State {
  since: Option<Instant>,
  written: u32,
  omitted: u32,
}

/// Rate of one kind of event.
#[derive(Debug, Default)]
pub(crate) struct EventLimiter(Mutex<State>);

impl EventLimiter {
  /// Counts an event.
  pub(crate) fn check(&self, now: Instant) -> Verdict {
    let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
    let fresh = state
      .since
      .is_none_or(|since| now.saturating_duration_since(since) >= PERIOD);
    if fresh {
      state.since = Some(now);
      state.written = 0;
    }
    if state.written >= LINES {
      state.omitted += 1;
      return Verdict::Omit;
    }
    state.written += 1;
    Verdict::Write {
      omitted: std::mem::take(&mut state.omitted),
    }
  }
}
