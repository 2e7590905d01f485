//! Running a call on the upstream beside the node.

use {
  crate::{
    Core,
    admission::Slot,
    core::LONGEST_BODY,
    crashes::Trial,
    replay::Replay,
    tracked::{BodyEnd, Tracked},
  },
  cactusyoke_decisions::load::{Completion, Fingerprint},
  cactusyoke_model::{
    Answer, BodyError, Call, CallFailure, CallHead, Context, Level, NotRunReason, Report, Retries,
    SpanId, UnknownReason,
  },
  http_body_util::BodyExt,
  std::sync::{Arc, atomic::Ordering},
  tokio::time::timeout_at,
};

/// What an admitted call holds until its answer has ended.
#[derive(Debug)]
pub(crate) struct Admitted {
  slot: Slot,
  trial: Trial,
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
    let trial = self.crashes.admit(fingerprint, head.deadline).await?;
    let queued = self.clock.now();
    let slot = self.admission.admit(head.priority, head.deadline).await?;
    if let Some(calls) = self.meters.route(&head.route) {
      calls.waited(self.clock.now().saturating_duration_since(queued));
    }
    Ok(Admitted { slot, trial })
  }

  /// Runs an admitted call; the slot is free once the answer's body has ended.
  pub(crate) async fn run_admitted(
    self: &Arc<Self>,
    call: Call,
    admitted: Admitted,
  ) -> Result<Answer, CallFailure> {
    let span = OpenSpan::open(self, &call.head);
    let id = span.id;
    let deadline = call.head.deadline;
    let context = Context {
      root: call.head.root,
      span: id,
      priority: call.head.priority,
      remaining: deadline.saturating_duration_since(self.clock.now()),
      retries: call.head.retries,
    };
    let running = self.upstream.call(call, context);
    let result = timeout_at(deadline.into(), running)
      .await
      .unwrap_or(Err(CallFailure::unknown(UnknownReason::Deadline)));
    let (unused, below) = span.close();
    match result {
      Ok(answer) => Ok(self.track(answer, id, admitted, unused, below)),
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

  fn track(
    self: &Arc<Self>,
    answer: Answer,
    span: SpanId,
    admitted: Admitted,
    unused: Retries,
    below: Level,
  ) -> Answer {
    let here = self.admission.report();
    let report = Report {
      level: here.level.min(below),
      unused,
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
