//! Tells crashes of the upstream from connections that were lost for another reason.
//!
//! An upstream that crashed refuses new connections, or runs as another process soon after. One that
//! only lost an answer, or closed an idle connection at the moment of its reuse, does neither. So a
//! lost connection stays on record until the upstream is known to be the same process.
//!
//! A request that the same process has completed before does not crash it, so ordinary requests, which
//! repeat, are not under suspicion.

use {
  super::{CrashId, Fingerprint},
  std::{
    collections::HashSet,
    mem,
    time::{Duration, Instant},
  },
};

/// Time after a lost connection within which another process shows that the one before crashed.
/// Includes a restart of several seconds and the interval of heartbeats.
const RETENTION: Duration = Duration::from_secs(8);

/// Maximum number of lost connections on record.
const MAX_LOSSES: usize = 1024;

/// Time after an accepted connection for which further losses are most likely no crash either.
const ACCEPT_VALIDITY: Duration = Duration::from_secs(1);

/// Number of accepted connections in a row that make a crash unlikely.
const UNLIKELY_AFTER: u32 = 5;

/// Number of completed requests after which the older half of them is forgotten.
const MAX_COMPLETED: usize = 2048;

/// Connection that was lost while the upstream ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loss {
  /// Request.
  pub fingerprint: Fingerprint,
  /// It was the only suspect that the upstream ran.
  pub alone: bool,
  /// Time at which the loss was noticed.
  pub at: Instant,
}

/// Crash of the upstream, with the requests that it was running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
  /// Identifies the crash among those of the service.
  pub id: CrashId,
  /// Requests that were running.
  pub losses: Vec<Loss>,
}

/// Lost connections whose cause is not known yet.
#[derive(Debug, Default)]
pub struct CrashLog {
  losses: Vec<Loss>,
  /// Time of the last connection that the upstream accepted.
  accepted: Option<Instant>,
  /// Connections accepted since the last crash.
  accepts: u32,
  /// Crash since which the upstream has accepted no connection.
  current: Option<CrashId>,
  /// Requests that the current process has completed: the latest, and those before.
  completed: [HashSet<Fingerprint>; 2],
}

impl CrashLog {
  /// Empty log.
  pub fn new() -> Self {
    Self::default()
  }

  /// Records a lost connection.
  pub fn record(&mut self, loss: Loss) {
    self
      .losses
      .retain(|known| loss.at.saturating_duration_since(known.at) < RETENTION);
    if self.losses.len() < MAX_LOSSES {
      self.losses.push(loss);
    }
  }

  /// Records that the upstream completed a request.
  pub fn record_completion(&mut self, fingerprint: Fingerprint) {
    let [latest, older] = &mut self.completed;
    if latest.len() >= MAX_COMPLETED {
      *older = mem::take(latest);
    }
    latest.insert(fingerprint);
  }

  /// True when a loss has to be checked with a new connection.
  pub fn needs_check(&self) -> bool {
    self.losses.iter().any(|loss| self.is_unchecked(loss))
  }

  /// Records that the upstream accepted a connection that was attempted at a time. Earlier losses
  /// are due to a crash only if the upstream turns out to be another process.
  pub fn record_accept(&mut self, attempted: Instant) {
    self.accepted = self.accepted.max(Some(attempted));
    self.accepts = self.accepts.saturating_add(1);
    if self.current.take().is_some() {
      // The upstream was restarted since it crashed.
      self.completed = Default::default();
    }
  }

  /// True when the upstream loses connections and accepted several lately, so that a crash is unlikely.
  pub fn has_accepted_lately(&self, now: Instant) -> bool {
    let age = |at: Instant| now.saturating_duration_since(at);
    let lately = self.accepted.is_some_and(|at| age(at) < ACCEPT_VALIDITY);
    lately && self.accepts >= UNLIKELY_AFTER
  }

  /// Records that the upstream refused a connection; returns the crash that explains the losses
  /// since it last accepted one. `id` identifies the crash if it is a new one.
  pub fn record_refusal(&mut self, id: CrashId) -> Crash {
    let id = *self.current.get_or_insert(id);
    self.accepts = 0;
    let mut losses = mem::take(&mut self.losses);
    losses.retain(|loss| self.is_unchecked(loss) && !self.has_completed(loss));
    Crash { id, losses }
  }

  /// Records that another process runs now; returns the crash of the one before if it lost
  /// connections that nothing else explains.
  pub fn record_restart(&mut self, id: CrashId, now: Instant) -> Option<Crash> {
    let id = self.current.take().unwrap_or(id);
    let mut losses = mem::take(&mut self.losses);
    losses.retain(|loss| {
      let age = now.saturating_duration_since(loss.at);
      age < RETENTION && !self.has_completed(loss)
    });
    self.completed = Default::default();
    (!losses.is_empty()).then_some(Crash { id, losses })
  }

  fn has_completed(&self, loss: &Loss) -> bool {
    let mut sets = self.completed.iter();
    sets.any(|set| set.contains(&loss.fingerprint))
  }

  fn is_unchecked(&self, loss: &Loss) -> bool {
    self.accepted.is_none_or(|accepted| loss.at > accepted)
  }
}
