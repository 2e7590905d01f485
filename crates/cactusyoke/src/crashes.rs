//! Requests that may crash the upstream, and their quarantine.
//!
//! A lost connection counts as a crash if the upstream refuses a new one as well, or if another
//! process is announced soon after. Every request in flight during a crash becomes suspect, on all
//! nodes of the service. Suspects of several crashes run on probation, one at a time on each node,
//! so that a further crash points to one of them: that request is quarantined. A suspect that
//! completes is cleared.

use {
  crate::{Core, control::ControlRequest},
  cactusyoke_decisions::load::{
    Crash, CrashId, CrashLog, Fingerprint, Loss, Quarantine, QuarantineNotice,
  },
  cactusyoke_model::{CallFailure, Clock, NodeId, NotRunReason, SpanId},
  cactusyoke_upstreams::LostConnection,
  futures_util::future::join_all,
  rand::seq::IteratorRandom,
  std::{
    collections::HashSet,
    fmt, mem,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
  },
  tokio::{
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    task::JoinHandle,
    time::{sleep, timeout, timeout_at},
  },
};

/// Timeout of the connection that tells a crash from a lost answer.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two such connections.
const CHECK_PAUSE: Duration = Duration::from_millis(50);

/// Time for which the failure of an idempotent call waits until the other nodes know of the crash. The
/// call is repeated at once, and must not run there as if it were under no suspicion.
const SPREAD_WAIT: Duration = Duration::from_millis(100);

/// Timeout of a message about a crash to another node.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of quarantines in one message.
const MAX_SHARED: usize = 16;

/// Requests under suspicion or in quarantine, and the calls that lost their connection.
pub(crate) struct Crashes {
  quarantine: Mutex<Quarantine>,
  /// Calls whose connection was lost while the upstream ran them.
  lost_calls: Mutex<HashSet<SpanId>>,
  probation: Arc<Semaphore>,
  losses: Mutex<Losses>,
  /// Number of losses whose cause is checked, and known to the other nodes.
  checked: watch::Sender<u64>,
  clock: Arc<dyn Clock>,
}

impl fmt::Debug for Crashes {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.debug_struct("Crashes").finish_non_exhaustive()
  }
}

/// Lost connections, and the check of their cause.
#[derive(Debug, Default)]
struct Losses {
  log: CrashLog,
  /// Number of losses so far.
  count: u64,
  checking: bool,
  /// Permits of suspects that lost their connection, held until the check has ended.
  probation: Vec<OwnedSemaphorePermit>,
}

/// Result of the check of lost connections.
struct FinishedCheck {
  /// Number of losses when it ended.
  count: u64,
  /// Another check is needed, for later losses.
  again: bool,
  /// Notices to the other nodes.
  notices: Vec<JoinHandle<()>>,
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
      losses: Mutex::default(),
      checked: watch::Sender::default(),
      clock,
    }
  }

  pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
    self
      .quarantine
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
  }

  /// Refuses a quarantined request; one on probation waits until no other one runs.
  pub(crate) async fn admit(
    &self,
    fingerprint: Fingerprint,
    deadline: Instant,
  ) -> Result<Permit, CallFailure> {
    if !self.needs_probation(fingerprint)? {
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
    let probation = self.needs_probation(fingerprint)?.then_some(permit);
    Ok(Permit {
      fingerprint,
      probation,
    })
  }

  fn needs_probation(&self, fingerprint: Fingerprint) -> Result<bool, CallFailure> {
    let now = self.clock.now();
    let mut quarantine = self.quarantine();
    if !quarantine.contains_head(fingerprint) {
      return Ok(false);
    }
    if quarantine.is_quarantined(fingerprint, now) {
      return Err(CallFailure::not_run(NotRunReason::Quarantined));
    }
    Ok(quarantine.needs_probation(fingerprint, now))
  }

  /// Records a lost connection, which may be due to a crash of the upstream.
  pub(crate) fn record_lost(&self, lost: &LostConnection) {
    self.lost_calls().insert(lost.span);
  }

  /// True when a lost connection was recorded for the call; removes the record.
  pub(crate) fn take_lost(&self, span: SpanId) -> bool {
    let mut lost_calls = self.lost_calls();
    !lost_calls.is_empty() && lost_calls.remove(&span)
  }

  fn losses(&self) -> MutexGuard<'_, Losses> {
    self.losses.lock().unwrap_or_else(PoisonError::into_inner)
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
      let _number = self.record_loss(fingerprint, probation);
    } else if complete {
      self.crashes.losses().log.record_completion(fingerprint);
      let mut quarantine = self.crashes.quarantine();
      if quarantine.contains_head(fingerprint) {
        quarantine.clear_suspicion(fingerprint);
      }
    }
  }

  /// Like [`Core::close_permit`] for a call that is repeated after its connection was lost, and waits
  /// for a short time until all nodes of the service know whether that was a crash. Does not wait
  /// while the upstream loses connections for another reason: each of its repeats would be late.
  pub(crate) async fn close_lost_permit(self: &Arc<Self>, permit: Permit) {
    let Permit {
      fingerprint,
      probation,
    } = permit;
    let now = self.clock.now();
    let unlikely = self.crashes.losses().log.has_accepted_lately(now);
    let number = self.record_loss(fingerprint, probation);
    if unlikely {
      return;
    }
    let mut checked = self.crashes.checked.subscribe();
    let covered = checked.wait_for(|checked| *checked >= number);
    drop(timeout(SPREAD_WAIT, covered).await);
  }

  /// Records a lost connection and has its cause checked; returns the number of losses so far.
  fn record_loss(
    self: &Arc<Self>,
    fingerprint: Fingerprint,
    probation: Option<OwnedSemaphorePermit>,
  ) -> u64 {
    let mut losses = self.crashes.losses();
    losses.log.record(Loss {
      fingerprint,
      alone: probation.is_some(),
      at: self.clock.now(),
    });
    losses.count += 1;
    losses.probation.extend(probation);
    if !mem::replace(&mut losses.checking, true) {
      tokio::spawn(Arc::clone(self).check_losses());
    }
    losses.count
  }

  /// Checks with a new connection whether the upstream has crashed, until all losses are checked.
  async fn check_losses(self: Arc<Self>) {
    loop {
      let attempted = self.clock.now();
      let before = self.crashes.losses().count;
      let accepted = self.upstream_accepts().await;
      let check = self.finish_check(attempted, accepted);
      drop(timeout(SPREAD_WAIT, join_all(check.notices)).await);
      // An accepted connection explains only what was lost before it was attempted.
      let covered = if accepted { before } else { check.count };
      self.crashes.checked.send_replace(covered);
      if !check.again {
        return;
      }
      sleep(CHECK_PAUSE).await;
    }
  }

  /// Records the result of a check.
  fn finish_check(self: &Arc<Self>, attempted: Instant, accepted: bool) -> FinishedCheck {
    let mut losses = self.crashes.losses();
    let crash = if accepted {
      losses.log.record_accept(attempted);
      None
    } else {
      Some(losses.log.record_refusal(CrashId(rand::random())))
    };
    let count = losses.count;
    let probation = mem::take(&mut losses.probation);
    losses.checking = losses.log.needs_check();
    let again = losses.checking;
    drop(losses);
    let notices = if let Some(crash) = crash {
      self.record_crash(crash)
    } else {
      tracing::info!(event = "connection_lost", crashed = false);
      Vec::new()
    };
    // Released after the crash is recorded, so that the next suspect finds its result.
    drop(probation);
    FinishedCheck {
      count,
      again,
      notices,
    }
  }

  /// Records that another process of the upstream runs now.
  pub(crate) fn record_restart(self: &Arc<Self>) {
    let id = CrashId(rand::random());
    let crash = self
      .crashes
      .losses()
      .log
      .record_restart(id, self.clock.now());
    if let Some(crash) = crash {
      drop(self.record_crash(crash));
    }
  }

  /// Suspects the requests that were in flight during a crash, or quarantines one of them. Returns the
  /// notices to the other nodes.
  fn record_crash(self: &Arc<Self>, crash: Crash) -> Vec<JoinHandle<()>> {
    let now = self.clock.now();
    let mut suspects = Vec::new();
    let mut quarantined = Vec::new();
    let mut quarantine = self.crashes.quarantine();
    for loss in crash.losses {
      let fingerprint = loss.fingerprint;
      match quarantine.record_crash(fingerprint, crash.id, loss.alone, now) {
        Some(notice) => quarantined.push(notice),
        None => suspects.push(fingerprint),
      }
    }
    drop(quarantine);
    tracing::warn!(event = "upstream_crashed", suspects = suspects.len());
    for notice in &quarantined {
      tracing::warn!(event = "quarantined", fingerprint = %notice.fingerprint, reason = "crashed its upstream as the only suspect");
    }
    let mut notices = Vec::new();
    if !suspects.is_empty() {
      notices.extend(self.notify_service(&ControlRequest::Suspects(crash.id, suspects)));
    }
    if !quarantined.is_empty() {
      notices.extend(self.notify_service(&ControlRequest::Quarantines(quarantined)));
    }
    notices
  }

  /// True when the upstream accepts a connection.
  async fn upstream_accepts(&self) -> bool {
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
    matches!(connected, Ok(Ok(_)))
  }

  /// Marks requests as suspect that were in flight during a crash of another upstream.
  pub(crate) fn adopt_suspects(&self, crash: CrashId, suspects: Vec<Fingerprint>) {
    let now = self.clock.now();
    let mut quarantine = self.crashes.quarantine();
    for fingerprint in suspects {
      quarantine.mark_suspect(fingerprint, crash, now);
    }
  }

  /// Adopts quarantines that another node reports.
  pub(crate) fn adopt_quarantines(&self, notices: Vec<QuarantineNotice>) {
    for notice in notices {
      if self.crashes.quarantine().adopt(notice, self.clock.now()) {
        tracing::info!(event = "quarantine_adopted", fingerprint = %notice.fingerprint);
      }
    }
  }

  /// Tells one other node of the service which requests are in quarantine: a node that has started
  /// since, or missed a notice, would run them.
  pub(crate) fn share_quarantines(self: &Arc<Self>) {
    let mut notices = self.crashes.quarantine().list(self.clock.now());
    if notices.is_empty() {
      return;
    }
    notices.sort_by_key(|notice| std::cmp::Reverse(notice.remaining));
    notices.truncate(MAX_SHARED);
    if let Some(node) = self.others_of_service().choose(&mut rand::rng()) {
      drop(self.notify(node, ControlRequest::Quarantines(notices)));
    }
  }

  /// Nodes of the local upstream's service other than this one.
  fn others_of_service(&self) -> impl Iterator<Item = NodeId> + use<> {
    let view = self.members.view();
    let service = view.own_record().service.clone();
    let own = self.settings.node;
    let others = view
      .live()
      .filter(|member| member.record.service == service)
      .map(|member| member.record.node)
      .filter(|node| *node != own);
    others.collect::<Vec<_>>().into_iter()
  }

  /// Sends a message to the other nodes of the local upstream's service.
  pub(crate) fn notify_service(self: &Arc<Self>, request: &ControlRequest) -> Vec<JoinHandle<()>> {
    let others = self.others_of_service();
    others
      .map(|node| self.notify(node, request.clone()))
      .collect()
  }

  fn notify(self: &Arc<Self>, node: NodeId, request: ControlRequest) -> JoinHandle<()> {
    let core = Arc::clone(self);
    tokio::spawn(async move {
      drop(core.send_control(node, &request, NOTIFY_TIMEOUT).await);
    })
  }
}
