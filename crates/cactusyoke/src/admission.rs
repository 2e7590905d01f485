//! Admission of calls to the local upstream.
//!
//! [`Gate`] decides; this module holds the waiting calls and passes the decisions on to them.

use {
  crate::event_limiter::{EventLimiter, Verdict},
  cactusyoke_decisions::load::{Completion, Gate, GateAction, GateConfig, OfferOutcome},
  cactusyoke_model::{CallFailure, Clock, Level, NotRunReason, Priority, Report, Slots},
  cactusyoke_upstreams::StatedRate,
  std::{
    collections::HashMap,
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
  },
  tokio::sync::{Notify, oneshot},
};

/// Longest sleep of the task that polls the queue; bounds how long it outlives the node.
const MAX_SLEEP: Duration = Duration::from_mins(1);
/// Shortest time between two log lines about an overload.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

type Decision = Result<(), NotRunReason>;

struct Inner {
  gate: Gate,
  waiting: HashMap<u64, oneshot::Sender<Decision>>,
  actions: Vec<GateAction>,
  last_ticket: u64,
  /// Since when the gate's decisions are counted for the next log line.
  counted_since: Instant,
}

/// Admission to the local upstream.
pub(crate) struct Admission {
  inner: Mutex<Inner>,
  /// Wakes the task that polls the queue.
  queue_change: Notify,
  /// Limits the log lines about stated rates.
  rate_limiter: EventLimiter,
  clock: Arc<dyn Clock>,
}

impl fmt::Debug for Admission {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.debug_struct("Admission").finish_non_exhaustive()
  }
}

/// Load of the local upstream, as measured by its gate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GateStatus {
  pub(crate) level: Level,
  pub(crate) limit: u32,
  pub(crate) in_flight: u32,
  pub(crate) queued: u32,
}

impl Admission {
  pub(crate) fn new(config: GateConfig, clock: Arc<dyn Clock>) -> Arc<Self> {
    let gate = Gate::new(config, clock.now());
    let inner = Inner {
      gate,
      waiting: HashMap::new(),
      actions: Vec::new(),
      last_ticket: 0,
      counted_since: clock.now(),
    };
    let admission = Arc::new(Self {
      inner: Mutex::new(inner),
      queue_change: Notify::new(),
      rate_limiter: EventLimiter::default(),
      clock,
    });
    tokio::spawn(poll_queue(Arc::downgrade(&admission)));
    admission
  }

  /// Replaces the gate after a restart of the upstream; waiting calls are refused.
  pub(crate) fn restart(&self, config: GateConfig) {
    let now = self.clock.now();
    let mut inner = self.lock();
    inner.gate = Gate::new(config, now);
    for (_, waiter) in inner.waiting.drain() {
      let _ = waiter.send(Err(NotRunReason::Draining));
    }
  }

  /// Refuses the waiting calls, since the upstream takes no more.
  pub(crate) fn refuse_waiting(&self) {
    let mut inner = self.lock();
    let waiting = std::mem::take(&mut inner.waiting);
    for (ticket, waiter) in waiting {
      inner.gate.cancel(ticket);
      // A send fails only after the waiting future was dropped, which cancels the ticket itself.
      let _ = waiter.send(Err(NotRunReason::Draining));
    }
  }

  /// Resizes the gate.
  pub(crate) fn set_slots(&self, slots: Slots) {
    let now = self.clock.now();
    let mut inner = self.lock();
    inner.gate.set_slots(slots, now);
    inner.poll(now);
  }

  /// Applies what an answer says about the rate of requests that the upstream takes.
  pub(crate) fn apply_stated_rate(&self, stated: StatedRate) {
    let now = self.clock.now();
    let mut inner = self.lock();
    let before = inner.gate.rate_limit();
    inner.gate.set_rate_limit(stated.rate, stated.sent, now);
    let rate = inner.gate.rate_limit();
    if rate == before {
      return;
    }
    inner.poll(now);
    drop(inner);
    // The task that polls the queue sleeps until a time that no longer holds.
    self.queue_change.notify_one();
    let Verdict::Write { omitted } = self.rate_limiter.check(now) else {
      return;
    };
    if let Some(rate) = rate {
      tracing::info!(event = "rate_limited", requests_per_second = rate, omitted);
    } else {
      tracing::info!(event = "rate_limit_lifted", omitted);
    }
  }

  /// Sets the longest wait in the queue.
  pub(crate) fn set_queue_wait(&self, wait: Duration) {
    self.lock().gate.set_queue_wait(wait);
  }

  /// Waits until the call may start; the slot is free again when [`Slot`] is dropped.
  pub(crate) async fn admit(
    self: &Arc<Self>,
    priority: Priority,
    nested: bool,
    deadline: Instant,
  ) -> Result<Slot, CallFailure> {
    let (ticket, waiter) = {
      let now = self.clock.now();
      let mut inner = self.lock();
      inner.last_ticket += 1;
      let ticket = inner.last_ticket;
      let offer = if nested {
        inner.gate.offer_nested(ticket, priority, deadline, now)
      } else {
        inner.gate.offer(ticket, priority, deadline, now)
      };
      let waiter = match offer {
        OfferOutcome::Start => None,
        OfferOutcome::Queued { evicted } => {
          let (sender, receiver) = oneshot::channel();
          inner.waiting.insert(ticket, sender);
          if let Some(evicted) = evicted {
            inner.decide(evicted, Err(NotRunReason::Evicted));
          }
          Some(receiver)
        }
        OfferOutcome::Refused(reason) => return Err(inner.refusal(reason, now)),
      };
      inner.poll(now);
      (ticket, waiter)
    };
    let slot = Slot {
      admission: Arc::clone(self),
      ticket,
      started: waiter.is_none(),
    };
    let Some(waiter) = waiter else {
      return Ok(slot);
    };
    self.queue_change.notify_one();
    slot.wait(waiter).await
  }

  /// True when a call would start without waiting.
  pub(crate) fn has_room(&self) -> bool {
    let now = self.clock.now();
    self.lock().gate.has_room(now)
  }

  /// Smoothed utilisation of the slots.
  pub(crate) fn utilisation(&self) -> f64 {
    self.lock().gate.utilisation()
  }

  /// Current load.
  pub(crate) fn status(&self) -> GateStatus {
    let now = self.clock.now();
    let inner = self.lock();
    GateStatus {
      level: inner.gate.level(now),
      limit: inner.gate.limit(),
      in_flight: inner.gate.in_flight(),
      queued: inner.gate.queued(),
    }
  }

  /// Admission level and load for an answer.
  pub(crate) fn report(&self) -> Report {
    self.lock().report(self.clock.now())
  }

  fn finish(&self, ticket: u64, completion: Completion) {
    let now = self.clock.now();
    let mut inner = self.lock();
    inner.gate.finish(ticket, completion, now);
    inner.poll(now);
  }

  fn cancel(&self, ticket: u64) {
    let now = self.clock.now();
    let mut inner = self.lock();
    inner.waiting.remove(&ticket);
    if !inner.gate.cancel(ticket) {
      // The gate started the call between its decision and the drop of the waiting future.
      inner.gate.finish(ticket, Completion::Cancelled, now);
    }
    inner.poll(now);
  }

  fn lock(&self) -> MutexGuard<'_, Inner> {
    self.inner.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

impl Inner {
  fn poll(&mut self, now: Instant) {
    let mut actions = std::mem::take(&mut self.actions);
    self.gate.poll(now, &mut actions);
    for action in actions.drain(..) {
      match action {
        GateAction::Start(ticket) => self.decide(ticket, Ok(())),
        GateAction::Drop(ticket, reason) => self.decide(ticket, Err(reason)),
      }
    }
    self.actions = actions;
    if now.saturating_duration_since(self.counted_since) >= LOG_INTERVAL {
      self.counted_since = now;
      self.log_overload(now);
    }
  }

  /// Logs what the gate decided since the last time, if it refused or dropped calls.
  fn log_overload(&mut self, now: Instant) {
    let counts = self.gate.take_counts();
    if counts.not_run() == 0 {
      return;
    }
    let (root, nested) = (counts.root, counts.nested);
    tracing::info!(
      event = "overload",
      level = %self.gate.level(now),
      utilisation = format_args!("{:.2}", self.gate.utilisation()),
      limit = self.gate.limit(),
      in_flight = self.gate.in_flight(),
      queued = self.gate.queued(),
      root_offered = root.offered,
      root_started = root.started,
      root_wait_ms = root.mean_wait().as_millis() as u64,
      root_above_level = root.above_level,
      root_expired = root.expired,
      root_late = root.late,
      root_over_rate = root.over_rate,
      root_overflowed = root.overflowed,
      nested_offered = nested.offered,
      nested_started = nested.started,
      nested_wait_ms = nested.mean_wait().as_millis() as u64,
      nested_expired = nested.expired,
      nested_late = nested.late,
      nested_over_rate = nested.over_rate,
      nested_overflowed = nested.overflowed,
    );
  }

  fn decide(&mut self, ticket: u64, decision: Decision) {
    if let Some(waiter) = self.waiting.remove(&ticket) {
      // A send fails only after the waiting future was dropped, which cancels the ticket itself.
      let _ = waiter.send(decision);
    }
  }

  fn report(&self, now: Instant) -> Report {
    Report {
      level: self.gate.level(now),
      load: self.gate.load(),
      ..Report::IDLE
    }
  }

  fn refusal(&self, reason: NotRunReason, now: Instant) -> CallFailure {
    CallFailure::refused(reason, self.report(now))
  }
}

/// Slot of the upstream that one call holds or waits for.
#[derive(Debug)]
pub(crate) struct Slot {
  admission: Arc<Admission>,
  /// Zero when nothing is left to finish or cancel.
  ticket: u64,
  /// Whether the gate has started the call; otherwise the call waits in the queue.
  started: bool,
}

impl Slot {
  async fn wait(mut self, waiter: oneshot::Receiver<Decision>) -> Result<Self, CallFailure> {
    match waiter.await {
      Ok(Ok(())) => {
        self.started = true;
        Ok(self)
      }
      Ok(Err(reason)) => {
        let report = self.admission.report();
        // The gate dropped the ticket already, so there is nothing to cancel.
        self.ticket = 0;
        Err(CallFailure::refused(reason, report))
      }
      Err(_closed) => {
        self.ticket = 0;
        Err(CallFailure::not_run(NotRunReason::Draining))
      }
    }
  }

  /// Frees the slot and tells the gate how the call ended.
  pub(crate) fn finish(mut self, completion: Completion) {
    self.admission.finish(self.ticket, completion);
    self.ticket = 0;
  }
}

impl Drop for Slot {
  fn drop(&mut self) {
    if self.ticket == 0 {
      return;
    }
    if self.started {
      self.admission.finish(self.ticket, Completion::Cancelled);
    } else {
      self.admission.cancel(self.ticket);
    }
  }
}

async fn poll_queue(admission: std::sync::Weak<Admission>) {
  while let Some(current) = admission.upgrade() {
    let now = current.clock.now();
    let next = {
      let mut inner = current.lock();
      inner.poll(now);
      inner
        .gate
        .next_poll()
        .filter(|_at| !inner.waiting.is_empty())
    };
    let sleep = next.map_or(MAX_SLEEP, |at| at.saturating_duration_since(now));
    // Also wakes up for a newly queued call, which may expire before those known so far.
    drop(tokio::time::timeout(sleep, current.queue_change.notified()).await);
  }
}
