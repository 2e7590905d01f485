//! Runs calls on the local upstream.

use {
  crate::{
    Core,
    admission::Slot,
    buffered_body::BufferedBody,
    core::MAX_BODY_TIME,
    crashes::Permit,
    parents::{Parent, ParentGuard},
    tracked_body::{BodyEnd, TrackedBody},
  },
  cactusyoke_decisions::load::{Completion, Fingerprint},
  cactusyoke_model::{
    Answer, BodyError, Bottleneck, Call, CallFailure, CallHead, Context, Level, NotRunReason,
    Repeat, Report, Retries, ServiceName, SpanId, UnknownReason,
  },
  cactusyoke_nodes::Hop,
  http_body_util::BodyExt,
  std::{
    sync::{Arc, PoisonError, atomic::Ordering},
    time::{Duration, Instant},
  },
  tokio::time::timeout_at,
};

/// What an admitted call holds until the body of its answer has ended.
#[derive(Debug)]
pub(crate) struct Admitted {
  slot: Slot,
  permit: Permit,
  /// Wait in the queue.
  waited: Duration,
  /// Time of the admission.
  started: Instant,
}

/// Combined reports of the calls that the upstream made for a request.
#[derive(Clone, Copy, Debug)]
struct NestedReport {
  unused: Retries,
  level: Level,
  bottleneck: Bottleneck,
}

impl Core {
  /// Runs a call that was sent to this instance, or hands it back if it must not wait here. That is
  /// checked before anything else, so that a call that is handed back does not count for the retry
  /// budget.
  pub(crate) async fn run_for(
    self: &Arc<Self>,
    hop: Hop,
    call: Call,
  ) -> Result<Answer, CallFailure> {
    let may_wait = hop != Hop::FreeInstance;
    if !may_wait && self.serves(&call.head.service) && !self.admission.has_room() {
      return Err(CallFailure::refused(NotRunReason::Busy, self.load_report()));
    }
    self.run_locally(call).await
  }

  /// Load of the local upstream, and whether an upstream is known to state the pace of its machine.
  fn load_report(&self) -> Report {
    Report {
      paced: self.balancing.is_paced(),
      ..self.admission.report()
    }
  }

  /// Runs a call on the local upstream, after the checks of quarantine, admission and key.
  async fn run_locally(self: &Arc<Self>, call: Call) -> Result<Answer, CallFailure> {
    let Call { head, body } = call;
    // The upstream gets nothing before the start of the body has been read.
    let reading = BufferedBody::read_start(body);
    let mut buffered = timeout_at(head.deadline.into(), reading)
      .await
      .map_err(|_elapsed| CallFailure::not_run(NotRunReason::Deadline))?
      .map_err(|_error| CallFailure::not_run(NotRunReason::Cancelled))?;
    let fingerprint = Fingerprint::head(head.method.as_str(), &head.path);
    let fingerprint = fingerprint.with_body(buffered.start());
    let admitted = self.admit(&head, fingerprint).await?;
    let body = buffered
      .body()
      .ok_or(CallFailure::not_run(NotRunReason::Connection))?;
    // Held no longer than the body needs it.
    drop(buffered);
    let call = Call { head, body };
    if call.head.key.is_some() {
      return self.run_keyed(call, fingerprint, admitted).await;
    }
    self.run_admitted(call, admitted).await
  }

  /// Waits until the call may run.
  pub(crate) async fn admit(
    self: &Arc<Self>,
    head: &CallHead,
    fingerprint: Fingerprint,
  ) -> Result<Admitted, CallFailure> {
    if self.is_draining() || !self.upstream_serving() {
      return Err(CallFailure::not_run(NotRunReason::Draining));
    }
    if !self.serves(&head.service) {
      return Err(CallFailure::not_run(NotRunReason::NoUpstream));
    }
    self.check_retry_budget(head)?;
    let permit = self.crashes.admit(fingerprint, head.deadline).await?;
    let queued = self.clock.now();
    let nested = head.depth > 0;
    let slot = self
      .admission
      .admit(head.priority, nested, head.deadline)
      .await?;
    let started = self.clock.now();
    let waited = started.saturating_duration_since(queued);
    if let Some(calls) = self.meters.route(&head.route) {
      calls.waited(waited);
    }
    Ok(Admitted {
      slot,
      permit,
      waited,
      started,
    })
  }

  /// Counts a call for the retry budget of the service; refuses a repeat that is not within it.
  fn check_retry_budget(&self, head: &CallHead) -> Result<(), CallFailure> {
    let Some(budget) = &self.retry_budget else {
      return Ok(());
    };
    let now = self.clock.now();
    let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
    match head.repeat {
      Repeat::No => budget.record_call(now),
      // Withholding it would waste the run that makes it.
      Repeat::Inherited => budget.record_repeat(now),
      Repeat::Resent => {
        let instances = self.members.view().serving(&head.service).len();
        if !budget.try_repeat(head.priority, instances, now) {
          return Err(CallFailure::not_run(NotRunReason::NoRetries));
        }
      }
    }
    Ok(())
  }

  /// Bottleneck on the local upstream by a call that was admitted at `started`.
  fn bottleneck(&self, started: Instant) -> Bottleneck {
    let work = self.clock.now().saturating_duration_since(started);
    let view = self.upstream_view.load();
    let announced = view.announcement.as_ref();
    announced.map_or(Bottleneck::NONE, |announced| {
      Bottleneck::new(&announced.service, self.admission.utilisation(), work)
    })
  }

  /// True when the local upstream is of `service`; a sender may still know an earlier upstream.
  fn serves(&self, service: &ServiceName) -> bool {
    let view = self.upstream_view.load();
    let announced = view.announcement.as_ref();
    announced.is_some_and(|announced| announced.service == *service)
  }

  /// Runs an admitted call; the slot is free once the answer's body has ended.
  pub(crate) async fn run_admitted(
    self: &Arc<Self>,
    call: Call,
    admitted: Admitted,
  ) -> Result<Answer, CallFailure> {
    let span = OpenSpan::open(self, &call.head);
    let id = span.id;
    let parent = self.register_parent(&call.head, id);
    let (deadline, idempotent) = (call.head.deadline, call.head.idempotent);
    let context = Context {
      root: call.head.root,
      span: id,
      priority: call.head.priority,
      remaining: deadline.saturating_duration_since(self.clock.now()),
      retries: call.head.retries,
    };
    // The call ends at its deadline by itself, and only it knows whether the request was written.
    let result = match self.upstream.call(call, context).await {
      Ok(answer) => timeout_at(deadline.into(), read_ahead(answer))
        .await
        .unwrap_or(Err(CallFailure::unknown(UnknownReason::Deadline))),
      Err(failure) => Err(failure),
    };
    let bottleneck = self.ledgers().bottleneck(id);
    let (unused, nested_level) = span.close();
    match result {
      Ok(answer) => Ok(self.track_answer(
        answer,
        id,
        parent,
        admitted,
        NestedReport {
          unused,
          level: nested_level,
          bottleneck,
        },
      )),
      Err(failure) => {
        let completion = match failure {
          CallFailure::NotRun { .. } => Completion::Cancelled,
          CallFailure::Unknown { .. } => Completion::Failed,
        };
        admitted.slot.finish(completion);
        let lost = self.crashes.take_lost(id);
        if lost && idempotent {
          self.close_lost_permit(admitted.permit).await;
        } else {
          self.close_permit(admitted.permit, lost, false);
        }
        Err(failure)
      }
    }
  }

  /// Registers the request as the parent of the calls that the upstream makes for it.
  fn register_parent(&self, head: &CallHead, span: SpanId) -> Option<ParentGuard> {
    let id = head.headers.get(&self.header_names.request_id);
    let parent = Parent {
      root: head.root,
      tenant: head.tenant.clone(),
      span,
      priority: head.priority,
      deadline: head.deadline,
      depth: head.depth.saturating_add(1),
      repeat: head.repeat.inherited(),
    };
    self.parents.register(id, parent)
  }

  fn track_answer(
    self: &Arc<Self>,
    answer: Answer,
    span: SpanId,
    parent: Option<ParentGuard>,
    admitted: Admitted,
    nested: NestedReport,
  ) -> Answer {
    let here = self.load_report();
    let report = Report {
      level: here.level.min(nested.level),
      unused: nested.unused,
      bottleneck: self.bottleneck(admitted.started).merge(nested.bottleneck),
      waited: admitted.waited,
      ..here
    };
    let core = Arc::clone(self);
    let server_error = answer.status.is_server_error();
    let on_end = move |end| {
      let completion = match end {
        BodyEnd::Complete if !server_error => Completion::Succeeded,
        BodyEnd::Complete | BodyEnd::Failed(_) => Completion::Failed,
        BodyEnd::Dropped => Completion::Cancelled,
      };
      drop(parent);
      admitted.slot.finish(completion);
      let lost = end == BodyEnd::Failed(BodyError::ConnectionLost) && core.crashes.take_lost(span);
      core.close_permit(admitted.permit, lost, completion == Completion::Succeeded);
    };
    // The sending node enforces the deadline of the body, so that this node needs no second timer
    // for it; the limit here only frees a slot whose body never ends.
    let body =
      TrackedBody::new(answer.body, self.clock.now() + MAX_BODY_TIME, on_end).boxed_unsync();
    Answer {
      body,
      report,
      ..answer
    }
  }
}

/// Buffers the body of an answer if it is small, so that the call fails and may be sent again when
/// the body is truncated.
async fn read_ahead(answer: Answer) -> Result<Answer, CallFailure> {
  let to_failure = |error| match error {
    BodyError::Deadline => CallFailure::unknown(UnknownReason::Deadline),
    BodyError::ConnectionLost | BodyError::Cancelled | BodyError::Length => {
      CallFailure::unknown(UnknownReason::Connection)
    }
  };
  let mut buffered = BufferedBody::read(answer.body).await.map_err(to_failure)?;
  let body = buffered
    .body()
    .ok_or(CallFailure::unknown(UnknownReason::Connection))?;
  Ok(Answer { body, ..answer })
}

/// Open ledger of a call that the local upstream runs; dropping it closes the ledger, as when the
/// call is cancelled.
struct OpenSpan<'a> {
  core: &'a Core,
  id: SpanId,
  open: bool,
}

impl<'a> OpenSpan<'a> {
  fn open(core: &'a Core, head: &CallHead) -> Self {
    let id = SpanId(core.next_span.fetch_add(1, Ordering::Relaxed));
    core.ledgers().open(id, head.root, head.retries);
    Self {
      core,
      id,
      open: true,
    }
  }

  fn close(mut self) -> (Retries, Level) {
    self.open = false;
    self
      .core
      .ledgers()
      .close(self.id)
      .unwrap_or((Retries::ZERO, Level::ALL))
  }
}

impl Drop for OpenSpan<'_> {
  fn drop(&mut self) {
    if self.open {
      self.core.ledgers().close(self.id);
    }
  }
}
