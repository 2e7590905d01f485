//! Rate limit for log lines about events that occur per request.

use std::{
  sync::{Mutex, PoisonError},
  time::{Duration, Instant},
};

/// Maximum number of lines written per period; further events are only counted.
const MAX_LINES: u32 = 20;

/// Period to which `MAX_LINES` applies.
const PERIOD: Duration = Duration::from_secs(1);

/// Whether the log line of an event is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
  /// Write it; `omitted` lines were left out since the last one.
  Write { omitted: u32 },
  /// Leave it out.
  Omit,
}

#[derive(Debug, Default)]
struct State {
  since: Option<Instant>,
  written: u32,
  omitted: u32,
}

/// Limiter for the log lines of one kind of event.
#[derive(Debug, Default)]
pub(crate) struct EventLimiter(Mutex<State>);

impl EventLimiter {
  /// Counts an event and decides whether its log line is written.
  pub(crate) fn check(&self, now: Instant) -> Verdict {
    let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
    let fresh = state
      .since
      .is_none_or(|since| now.saturating_duration_since(since) >= PERIOD);
    if fresh {
      state.since = Some(now);
      state.written = 0;
    }
    if state.written >= MAX_LINES {
      state.omitted += 1;
      return Verdict::Omit;
    }
    state.written += 1;
    Verdict::Write {
      omitted: std::mem::take(&mut state.omitted),
    }
  }
}
