//! Requests that may crash the upstream, and their quarantine.
//!
//! A lost connection is a crash when the upstream refuses the next one as well; an upstream that
//! only lost an answer accepts it. Everything in flight during a crash becomes suspect. A suspect
//! request runs on probation, one at a time on each node, so that a second crash has one cause
//! among the suspects: that request is quarantined. A suspect that completes is cleared.

use {
  crate::{Core, control::Ask},
  cactusyoke_decisions::load::{Fingerprint, Quarantine, QuarantineNotice},
  cactusyoke_model::{CallFailure, Clock, NotRunReason, SpanId},
  cactusyoke_upstreams::Crash,
  std::{
    collections::HashSet,
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
  },
  tokio::{
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{timeout, timeout_at},
  },
};

/// Time for the connection that tells a crash from a lost answer.
const CHECK_LIMIT: Duration = Duration::from_millis(500);

/// Time for which an upstream that accepted such a connection counts as running.
const ACCEPTED_FOR: Duration = Duration::from_millis(200);

/// Time for a notification about a crash.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(1);

/// Crashes of the upstream beside the node.
pub(crate) struct Crashes {
  quarantine: Mutex<Quarantine>,
  spans: Mutex<HashSet<SpanId>>,
  probation: Arc<Semaphore>,
  /// Last check that found the upstream running.
  accepted: Mutex<Option<Instant>>,
  clock: Arc<dyn Clock>,
}

impl fmt::Debug for Crashes {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.debug_struct("Crashes").finish_non_exhaustive()
  }
}

/// Permission to run one request.
#[derive(Debug)]
pub(crate) struct Trial {
  fingerprint: Fingerprint,
  probation: Option<OwnedSemaphorePermit>,
}

impl Crashes {
  pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
    Self {
      quarantine: Mutex::new(Quarantine::new()),
      spans: Mutex::default(),
      probation: Arc::new(Semaphore::new(1)),
      accepted: Mutex::default(),
      clock,
    }
  }

  pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
    self
      .quarantine
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
  }

  /// Refuses a quarantined request; a suspect one waits until no other suspect runs.
  pub(crate) async fn admit(
    &self,
    fingerprint: Fingerprint,
    deadline: Instant,
  ) -> Result<Trial, CallFailure> {
    if !self.is_suspect(fingerprint)? {
      return Ok(Trial {
        fingerprint,
        probation: None,
      });
    }
    let waiting = Arc::clone(&self.probation).acquire_owned();
    let Ok(Ok(permit)) = timeout_at(deadline.into(), waiting).await else {
      return Err(CallFailure::not_run(NotRunReason::Deadline));
    };
    // Another request with the fingerprint may have completed or crashed in the meantime.
    let probation = self.is_suspect(fingerprint)?.then_some(permit);
    Ok(Trial {
      fingerprint,
      probation,
    })
  }

  fn is_suspect(&self, fingerprint: Fingerprint) -> Result<bool, CallFailure> {
    let now = self.clock.now();
    let mut quarantine = self.quarantine();
    if !quarantine.contains_head(fingerprint) {
      return Ok(false);
    }
    if quarantine.is_quarantined(fingerprint, now) {
      return Err(CallFailure::not_run(NotRunReason::Quarantined));
    }
    Ok(quarantine.is_suspect(fingerprint, now))
  }

  /// Takes note of a crash that the upstream's client reports.
  pub(crate) fn report(&self, crash: &Crash) {
    // An idle connection that the upstream closed at the same moment is no crash.
    if !crash.reused {
      self.spans().insert(crash.span);
    }
  }

  /// True when the upstream crashed while it ran the call.
  pub(crate) fn take(&self, span: SpanId) -> bool {
    let mut spans = self.spans();
    !spans.is_empty() && spans.remove(&span)
  }

  fn accepted(&self) -> MutexGuard<'_, Option<Instant>> {
    self.accepted.lock().unwrap_or_else(PoisonError::into_inner)
  }

  fn spans(&self) -> MutexGuard<'_, HashSet<SpanId>> {
    self.spans.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

impl Core {
  /// Records how a call ended; `crashed` when the upstream crashed during it.
  pub(crate) fn end_trial(self: &Arc<Self>, trial: Trial, crashed: bool, whole: bool) {
    let Trial {
      fingerprint,
      probation,
    } = trial;
    if crashed {
      tokio::spawn(Arc::clone(self).judge(fingerprint, probation));
    } else if whole && self.crashes.quarantine().contains_head(fingerprint) {
      self.crashes.quarantine().clear_suspicion(fingerprint);
    }
  }

  /// Suspects or quarantines a request whose connection was lost, if its upstream crashed.
  async fn judge(
    self: Arc<Self>,
    fingerprint: Fingerprint,
    probation: Option<OwnedSemaphorePermit>,
  ) {
    if self.upstream_accepts().await {
      return;
    }
    if probation.is_some() {
      let notice = self
        .crashes
        .quarantine()
        .record_crash(fingerprint, self.clock.now());
      if let Some(notice) = notice {
        tracing::warn!(event = "quarantined", %fingerprint, reason = "crashed its upstream twice");
        self.notify_service(&Ask::Quarantine(notice));
      }
    } else {
      self.suspect(fingerprint);
    }
    drop(probation);
  }

  /// True when the upstream accepts a connection, now or a moment ago.
  async fn upstream_accepts(&self) -> bool {
    let now = self.clock.now();
    let accepted = *self.crashes.accepted();
    let recently = |at: Instant| now.saturating_duration_since(at) < ACCEPTED_FOR;
    if accepted.is_some_and(recently) {
      return true;
    }
    let address = self
      .views
      .load()
      .announcement
      .as_ref()
      .map(|known| known.address);
    let Some(address) = address else {
      return false;
    };
    let connected = timeout(CHECK_LIMIT, TcpStream::connect(address)).await;
    let accepts = matches!(connected, Ok(Ok(_)));
    if accepts {
      *self.crashes.accepted() = Some(self.clock.now());
    }
    accepts
  }

  fn suspect(self: &Arc<Self>, fingerprint: Fingerprint) {
    let now = self.clock.now();
    if self.crashes.quarantine().is_suspect(fingerprint, now) {
      return;
    }
    self.crashes.quarantine().mark_suspect(fingerprint, now);
    tracing::warn!(event = "suspected", %fingerprint, reason = "in flight when the upstream crashed");
    self.notify_service(&Ask::Suspect(fingerprint));
  }

  /// Adopts a quarantine that another node reports.
  pub(crate) fn adopt_quarantine(&self, notice: QuarantineNotice) {
    tracing::info!(event = "quarantine_adopted", fingerprint = %notice.fingerprint);
    self.crashes.quarantine().adopt(notice, self.clock.now());
  }

  /// Tells the other nodes of the upstream's service.
  fn notify_service(self: &Arc<Self>, ask: &Ask) {
    let view = self.members.view();
    let service = &view.own().service;
    let others = view
      .live()
      .filter(|member| member.record.service == *service)
      .map(|member| member.record.node)
      .filter(|node| *node != self.settings.node);
    for node in others {
      let (core, ask) = (Arc::clone(self), ask.clone());
      tokio::spawn(async move {
        drop(core.ask(node, &ask, NOTIFY_TIMEOUT).await);
      });
    }
  }
}
