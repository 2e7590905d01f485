//! Running a call on the upstream beside the node.

use {
  crate::{
    Core,
    admission::Slot,
    core::LONGEST_BODY,
    crashes::Trial,
    replay::Replay,
    runs::{OpenRun, Parent},
    tracked::{BodyEnd, Tracked},
  },
  cactusyoke_decisions::load::{Completion, Fingerprint},
  cactusyoke_model::{
    Answer, BodyError, Call, CallFailure, CallHead, Context, Level, NotRunReason, Report, Retries,
    ServiceName, SpanId, Strain, UnknownReason,
  },
  http_body_util::BodyExt,
  std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
  },
  tokio::time::timeout_at,
};

/// What an admitted call holds until its answer has ended.
#[derive(Debug)]
pub(crate) struct Admitted {
  slot: Slot,
  trial: Trial,
  /// Wait in the queue.
  waited: Duration,
  /// Time of the admission.
  started: Instant,
}

/// What the calls of a run report.
#[derive(Clone, Copy, Debug)]
struct Below {
  unused: Retries,
  level: Level,
  strain: Strain,
}

impl Core {
  /// Runs a call on the upstream beside this node: quarantine, admission, key, upstream.
  pub(crate) async fn run_here(self: &Arc<Self>, call: Call) -> Result<Answer, CallFailure> {
    let Call { head, body } = call;
    let mut body = Replay::read(body)
      .await
      .map_err(|_error| CallFailure::not_run(NotRunReason::Cancelled))?;
    let fingerprint = Fingerprint::head(head.method.as_str(), &head.path);
    let fingerprint = fingerprint.with_body(body.prefix());
    let admitted = self.admit(&head, fingerprint).await?;
    let body = body
      .body()
      .ok_or(CallFailure::not_run(NotRunReason::Connection))?;
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
    let trial = self.crashes.admit(fingerprint, head.deadline).await?;
    let queued = self.clock.now();
    let inner = head.depth > 0;
    let slot = self
      .admission
      .admit(head.priority, inner, head.deadline)
      .await?;
    let started = self.clock.now();
    let waited = started.saturating_duration_since(queued);
    if let Some(calls) = self.meters.route(&head.route) {
      calls.waited(waited);
    }
    Ok(Admitted {
      slot,
      trial,
      waited,
      started,
    })
  }

  /// Strain of the upstream beside this node, by a call that began at `started`.
  fn strain(&self, started: Instant) -> Strain {
    let work = self.clock.now().saturating_duration_since(started);
    let view = self.views.load();
    let announced = view.announcement.as_ref();
    announced.map_or(Strain::NONE, |announced| {
      Strain::new(&announced.service, self.admission.used(), work)
    })
  }

  /// True when the upstream beside this node is of `service`. A sender may know an earlier one.
  fn serves(&self, service: &ServiceName) -> bool {
    let view = self.views.load();
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
    let run = self.open_run(&call.head, id);
    let deadline = call.head.deadline;
    let context = Context {
      root: call.head.root,
      span: id,
      priority: call.head.priority,
      remaining: deadline.saturating_duration_since(self.clock.now()),
      retries: call.head.retries,
    };
    let running = self.upstream.call(call, context);
    let whole = async { read_ahead(running.await?).await };
    let result = timeout_at(deadline.into(), whole)
      .await
      .unwrap_or(Err(CallFailure::unknown(UnknownReason::Deadline)));
    let strain = self.ledgers().strain(id);
    let (unused, below) = span.close();
    match result {
      Ok(answer) => Ok(self.track(
        answer,
        id,
        run,
        admitted,
        Below {
          unused,
          level: below,
          strain,
        },
      )),
      Err(failure) => {
        let done = match failure {
          CallFailure::NotRun { .. } => Completion::Cancelled,
          CallFailure::Unknown { .. } => Completion::Failed,
        };
        admitted.slot.finish(done);
        self.end_trial(admitted.trial, self.crashes.take(id), false);
        Err(failure)
      }
    }
  }

  /// Notes that the upstream runs a request, for the calls that it makes.
  fn open_run(&self, head: &CallHead, span: SpanId) -> Option<OpenRun> {
    let id = head.headers.get(&self.names.request_id)?;
    let parent = Parent {
      root: head.root,
      span,
      priority: head.priority,
      deadline: head.deadline,
      depth: head.depth.saturating_add(1),
      repeat: head.repeat,
    };
    Some(self.runs.open(id, parent))
  }

  fn track(
    self: &Arc<Self>,
    answer: Answer,
    span: SpanId,
    run: Option<OpenRun>,
    admitted: Admitted,
    below: Below,
  ) -> Answer {
    let here = self.admission.report();
    let report = Report {
      level: here.level.min(below.level),
      unused: below.unused,
      strain: self.strain(admitted.started).join(below.strain),
      waited: admitted.waited,
      ..here
    };
    let core = Arc::clone(self);
    let server_error = answer.status.is_server_error();
    let on_end = move |end| {
      let done = match end {
        BodyEnd::Whole if !server_error => Completion::Whole,
        BodyEnd::Whole | BodyEnd::Failed(_) => Completion::Failed,
        BodyEnd::Dropped => Completion::Cancelled,
      };
      drop(run);
      admitted.slot.finish(done);
      let crashed = end == BodyEnd::Failed(BodyError::Cut) && core.crashes.take(span);
      core.end_trial(admitted.trial, crashed, done == Completion::Whole);
    };
    // The entry node enforces the deadline on the body, so that one timer runs for each answer.
    let body = Tracked::new(answer.body, self.clock.now() + LONGEST_BODY, on_end).boxed_unsync();
    Answer {
      body,
      report,
      ..answer
    }
  }
}

/// Reads the body of an answer when it is small, so that one that is cut off is no answer and the
/// call may be sent again.
async fn read_ahead(answer: Answer) -> Result<Answer, CallFailure> {
  let cut = |error| match error {
    BodyError::Deadline => CallFailure::unknown(UnknownReason::Deadline),
    BodyError::Cut | BodyError::Cancelled | BodyError::Length => {
      CallFailure::unknown(UnknownReason::Connection)
    }
  };
  let mut replay = Replay::read(answer.body).await.map_err(cut)?;
  let body = replay
    .body()
    .ok_or(CallFailure::unknown(UnknownReason::Connection))?;
  Ok(Answer { body, ..answer })
}

/// Ledger of one call in flight; closed also when the call is cancelled.
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
