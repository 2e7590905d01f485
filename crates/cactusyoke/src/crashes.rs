//! Requests that may crash the upstream, and their quarantine.
//!
//! A lost connection counts as a crash if the upstream refuses a new one as well; an upstream that
//! only lost an answer accepts it. Every request in flight during a crash becomes suspect. Suspect
//! requests run on probation, one at a time on each node, so that a second crash points to one of
//! them: that request is quarantined. A suspect that completes is cleared.

use {
  crate::{Core, control::ControlRequest},
  cactusyoke_decisions::load::{Fingerprint, Quarantine, QuarantineNotice},
  cactusyoke_model::{CallFailure, Clock, NotRunReason, SpanId},
  cactusyoke_upstreams::LostConnection,
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

/// Timeout of the connection that tells a crash from a lost answer.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an upstream counts as running after it accepted such a connection.
const ACCEPT_VALIDITY: Duration = Duration::from_millis(200);

/// Timeout of a message about a crash to another node.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(1);

/// Requests under suspicion or in quarantine, and the calls that lost their connection.
pub(crate) struct Crashes {
  quarantine: Mutex<Quarantine>,
  /// Calls whose connection was lost while the upstream ran them.
  lost_calls: Mutex<HashSet<SpanId>>,
  probation: Arc<Semaphore>,
  /// Last time that the upstream accepted a connection of a check.
  last_accept: Mutex<Option<Instant>>,
  clock: Arc<dyn Clock>,
}

impl fmt::Debug for Crashes {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.debug_struct("Crashes").finish_non_exhaustive()
  }
}

/// Permission to run one request.
#[derive(Debug)]
pub(crate) struct Permit {
  fingerprint: Fingerprint,
  /// Held by a suspect request while it runs.
  probation: Option<OwnedSemaphorePermit>,
}

impl Crashes {
  pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
    Self {
      quarantine: Mutex::new(Quarantine::new()),
      lost_calls: Mutex::default(),
      probation: Arc::new(Semaphore::new(1)),
      last_accept: Mutex::default(),
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
  ) -> Result<Permit, CallFailure> {
    if !self.is_suspect(fingerprint)? {
      return Ok(Permit {
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
    Ok(Permit {
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

  /// Records a lost connection, which may be due to a crash of the upstream.
  pub(crate) fn record_lost(&self, lost: &LostConnection) {
    // The upstream may have closed a reused connection because it was idle, which is no crash.
    if !lost.reused {
      self.lost_calls().insert(lost.span);
    }
  }

  /// True when a lost connection was recorded for the call; removes the record.
  pub(crate) fn take_lost(&self, span: SpanId) -> bool {
    let mut lost_calls = self.lost_calls();
    !lost_calls.is_empty() && lost_calls.remove(&span)
  }

  fn last_accept(&self) -> MutexGuard<'_, Option<Instant>> {
    self
      .last_accept
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
  }

  fn lost_calls(&self) -> MutexGuard<'_, HashSet<SpanId>> {
    self
      .lost_calls
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
  }
}

impl Core {
  /// Records how a call ended; `lost` when its connection to the upstream was lost.
  pub(crate) fn close_permit(self: &Arc<Self>, permit: Permit, lost: bool, complete: bool) {
    let Permit {
      fingerprint,
      probation,
    } = permit;
    if lost {
      tokio::spawn(Arc::clone(self).check_crash(fingerprint, probation));
    } else if complete && self.crashes.quarantine().contains_head(fingerprint) {
      self.crashes.quarantine().clear_suspicion(fingerprint);
    }
  }

  /// Checks for a crash after a lost connection, and suspects or quarantines the request.
  async fn check_crash(
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
        self.notify_service(&ControlRequest::Quarantine(notice));
      }
    } else {
      self.suspect(fingerprint);
    }
    drop(probation);
  }

  /// True when the upstream accepts a connection, or did so within [`ACCEPT_VALIDITY`].
  async fn upstream_accepts(&self) -> bool {
    let now = self.clock.now();
    let last_accept = *self.crashes.last_accept();
    let recently = |at: Instant| now.saturating_duration_since(at) < ACCEPT_VALIDITY;
    if last_accept.is_some_and(recently) {
      return true;
    }
    let address = self
      .upstream_view
      .load()
      .announcement
      .as_ref()
      .map(|known| known.address);
    let Some(address) = address else {
      return false;
    };
    let connected = timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
    let accepts = matches!(connected, Ok(Ok(_)));
    if accepts {
      *self.crashes.last_accept() = Some(self.clock.now());
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
    self.notify_service(&ControlRequest::Suspect(fingerprint));
  }

  /// Adopts a quarantine that another node reports.
  pub(crate) fn adopt_quarantine(&self, notice: QuarantineNotice) {
    tracing::info!(event = "quarantine_adopted", fingerprint = %notice.fingerprint);
    self.crashes.quarantine().adopt(notice, self.clock.now());
  }

  /// Sends a message to the other nodes of the local upstream's service.
  fn notify_service(self: &Arc<Self>, request: &ControlRequest) {
    let view = self.members.view();
    let service = &view.own_record().service;
    let others = view
      .live()
      .filter(|member| member.record.service == *service)
      .map(|member| member.record.node)
      .filter(|node| *node != self.settings.node);
    for node in others {
      let (core, request) = (Arc::clone(self), request.clone());
      tokio::spawn(async move {
        drop(core.send_control(node, &request, NOTIFY_TIMEOUT).await);
      });
    }
  }
}
