//! Running a call on the upstream beside the node.

use {
  crate::{
    Core,
    admission::Slot,
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

impl Core {
  /// Runs a call on the upstream beside this node: quarantine, admission, key, upstream.
  pub(crate) async fn run_here(self: &Arc<Self>, call: Call) -> Result<Answer, CallFailure> {
    if self.draining.load(Ordering::Acquire) || !self.upstream_serving() {
      return Err(CallFailure::not_run(NotRunReason::Draining));
    }
    let Call { head, body } = call;
    let mut body = Replay::read(body)
      .await
      .map_err(|_error| CallFailure::not_run(NotRunReason::Cancelled))?;
    let fingerprint = Fingerprint::head(head.method.as_str(), &head.path);
    let fingerprint = fingerprint.with_body(body.prefix());
    if self.quarantine().blocks(fingerprint, self.clock.now()) {
      return Err(CallFailure::not_run(NotRunReason::Quarantined));
    }
    let slot = self.admission.admit(head.priority, head.deadline).await?;
    let body = body
      .body()
      .ok_or(CallFailure::not_run(NotRunReason::Connection))?;
    if head.key.is_some() {
      return self.run_keyed(Call { head, body }, fingerprint, slot).await;
    }
    self
      .run_admitted(Call { head, body }, fingerprint, slot)
      .await
  }

  /// Runs an admitted call; the slot is free once the answer's body has ended.
  pub(crate) async fn run_admitted(
    self: &Arc<Self>,
    call: Call,
    fingerprint: Fingerprint,
    slot: Slot,
  ) -> Result<Answer, CallFailure> {
    let span = OpenSpan::open(self, &call.head);
    let deadline = call.head.deadline;
    let context = Context {
      root: call.head.root,
      span: span.id,
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
      Ok(answer) => Ok(self.track(answer, fingerprint, slot, unused, below)),
      Err(failure) => {
        self.failed_here(&failure, fingerprint, slot);
        Err(failure)
      }
    }
  }

  fn track(
    self: &Arc<Self>,
    answer: Answer,
    fingerprint: Fingerprint,
    slot: Slot,
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
    let on_end = move |end| match end {
      BodyEnd::Whole if server_error => slot.finish(Completion::Failed),
      BodyEnd::Whole => slot.finish(Completion::Whole),
      BodyEnd::Dropped => slot.finish(Completion::Cancelled),
      BodyEnd::Failed(error) => {
        slot.finish(Completion::Failed);
        if error == BodyError::Cut {
          core.upstream_crashed(fingerprint);
        }
      }
    };
    // The entry node enforces the deadline on the body, so that one timer runs for each answer.
    let far = self.clock.now() + crate::core::LONGEST_BODY;
    let body = Tracked::new(answer.body, far, on_end).boxed_unsync();
    Answer {
      body,
      report,
      ..answer
    }
  }

  fn failed_here(self: &Arc<Self>, failure: &CallFailure, fingerprint: Fingerprint, slot: Slot) {
    match failure {
      CallFailure::NotRun { .. } => slot.finish(Completion::Cancelled),
      CallFailure::Unknown { reason } => {
        slot.finish(Completion::Failed);
        if *reason == UnknownReason::Connection {
          self.upstream_crashed(fingerprint);
        }
      }
    }
  }

  /// Counts a crash against the request that ran, and tells the nodes of the service when the
  /// request is quarantined.
  fn upstream_crashed(self: &Arc<Self>, fingerprint: Fingerprint) {
    let notice = self.quarantine().crashed(fingerprint, self.clock.now());
    if let Some(notice) = notice {
      tracing::warn!(event = "quarantined", fingerprint = %fingerprint, "a request crashed its upstream twice");
      self.notify_quarantine(notice);
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
