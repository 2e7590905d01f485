mod adaptation;
mod report;

use {
  super::{
    Completion, DeterministicMap, GateAction, GateConfig, GateCounts, IntervalWaits, Lane,
    LevelController, Limit, MaxWaits, OfferOutcome, Queue, QueueOrder, QueuedCall, RateLimit,
    TicketState, level_controller::HALVES,
  },
  cactusyoke_model::{Level, NotRunReason, Priority, RequestRate, Slots},
  std::time::{Duration, Instant},
};

/// Shortest interval at which the limit and the level are adapted. It is about the time that a
/// report takes to reach the senders; with shorter intervals the next step would follow before the
/// last one takes effect.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Smoothing of the run time of a half class.
const RUN_TIME_WEIGHT: f64 = 0.05;
/// Time without any event after which the measured load is outdated.
const OUTDATED_AFTER: Duration = Duration::from_secs(1);

/// Admission control for one upstream: a concurrency limit, a priority queue and an admission
/// level.
#[derive(Debug)]
pub struct Gate {
  max_queued: usize,
  queue_wait: Duration,
  /// Tolerated mean wait of nested calls, in multiples of their run time.
  nested_wait: f64,
  queue: Queue,
  tickets: DeterministicMap<u64, TicketState>,
  in_flight: u32,
  limit: Limit,
  /// Limit that the upstream has stated.
  rate_limit: Option<RateLimit>,
  controller: LevelController,
  /// Smoothed run time by half class, seconds; zero while unknown.
  run_times: [f64; HALVES],
  /// Share of the concurrency limit in use, smoothed.
  utilisation: f64,
  /// Last adaptation of the limit.
  last_tick: Instant,
  /// Last update of the level.
  level_updated: Instant,
  /// No queued call expires before this time; it may be too early, never too late.
  earliest_expiry: Option<Instant>,
  /// Waits since the last update of the level.
  waits: IntervalWaits,
  last_wait: Duration,
  counts: GateCounts,
}

impl Gate {
  /// Gate for an upstream that starts serving at `now`.
  pub fn new(config: GateConfig, now: Instant) -> Self {
    Self::with_order(config, QueueOrder::default(), now)
  }

  /// Gate with a queue order other than the default.
  pub fn with_order(config: GateConfig, order: QueueOrder, now: Instant) -> Self {
    Self {
      max_queued: config.max_queued,
      queue_wait: config.queue_wait,
      nested_wait: config.nested_wait,
      queue: Queue::new(order),
      tickets: DeterministicMap::default(),
      in_flight: 0,
      limit: Limit::new(config.slots, config.cold_start, config.adaptive_limit, now),
      rate_limit: None,
      controller: LevelController::new(),
      run_times: [0.0; HALVES],
      utilisation: 0.0,
      last_tick: now,
      level_updated: now,
      earliest_expiry: None,
      waits: IntervalWaits::default(),
      last_wait: Duration::ZERO,
      counts: GateCounts::default(),
    }
  }

  /// Offers a root request. `ticket` identifies it and must not be in use at this gate.
  pub fn offer(
    &mut self,
    ticket: u64,
    priority: Priority,
    deadline: Instant,
    now: Instant,
  ) -> OfferOutcome {
    self.offer_to_lane(Lane::root(priority), ticket, priority, deadline, now)
  }

  /// Offers a nested call, that is, one that an upstream makes while it serves a request. It goes
  /// ahead of the root requests of its class, is not subject to the level, and may wait longer:
  /// shedding it would waste the work already done for its request.
  pub fn offer_nested(
    &mut self,
    ticket: u64,
    priority: Priority,
    deadline: Instant,
    now: Instant,
  ) -> OfferOutcome {
    self.offer_to_lane(Lane::nested(priority), ticket, priority, deadline, now)
  }

  fn offer_to_lane(
    &mut self,
    lane: Lane,
    ticket: u64,
    priority: Priority,
    deadline: Instant,
    now: Instant,
  ) -> OfferOutcome {
    self.tick(now);
    if self.tickets.contains_key(&ticket) {
      return OfferOutcome::Refused(NotRunReason::BadRequest);
    }
    self.controller.record_arrival(priority);
    let outcome = self.decide(lane, ticket, priority, deadline, now);
    let counts = self.counts.lane(lane.is_nested());
    counts.offered += 1;
    if let OfferOutcome::Refused(reason) = outcome {
      counts.record_refused(reason);
    }
    outcome
  }

  fn decide(
    &mut self,
    lane: Lane,
    ticket: u64,
    priority: Priority,
    deadline: Instant,
    now: Instant,
  ) -> OfferOutcome {
    if !lane.is_nested() && !self.controller.enforced_level().admits(priority) {
      return OfferOutcome::Refused(NotRunReason::Shed);
    }
    let earliest_end = now + self.limit.min_latency();
    if deadline <= earliest_end {
      return OfferOutcome::Refused(NotRunReason::Deadline);
    }
    if self.queue.len() == 0 && self.can_start(now) {
      self.start(ticket, priority, lane, now, now);
      return OfferOutcome::Start;
    }
    let expected_wait = self.expected_wait(lane, priority);
    if self.rate_limit.is_some() && expected_wait > self.max_waits().for_lane(lane) {
      return OfferOutcome::Refused(NotRunReason::Limit);
    }
    if deadline <= earliest_end + expected_wait {
      return OfferOutcome::Refused(NotRunReason::Deadline);
    }
    let mut evicted = None;
    if self.queue.len() >= self.max_queued {
      let Some((lane, call)) = self.queue.evict_below(lane, priority) else {
        return OfferOutcome::Refused(NotRunReason::QueueFull);
      };
      self.tickets.remove(&call.ticket);
      let counts = self.counts.lane(lane.is_nested());
      counts.record_dropped(NotRunReason::Evicted);
      evicted = Some(call.ticket);
    }
    self.enqueue(lane, ticket, priority, deadline, now);
    OfferOutcome::Queued { evicted }
  }

  /// Ends a started call. Other tickets are ignored.
  pub fn finish(&mut self, ticket: u64, completion: Completion, now: Instant) {
    let Some(TicketState::Running { half, since }) = self.tickets.get(&ticket).copied() else {
      return;
    };
    self.tickets.remove(&ticket);
    self.limit.observe(self.in_flight, now);
    self.in_flight -= 1;
    self.limit.record_completion(since, completion, now);
    if completion == Completion::Succeeded {
      let time = now.saturating_duration_since(since).as_secs_f64();
      let run_time = &mut self.run_times[half];
      *run_time = if *run_time == 0.0 {
        time
      } else {
        *run_time + (time - *run_time) * RUN_TIME_WEIGHT
      };
    }
    self.tick(now);
  }

  /// Removes a queued call; false when the ticket is not queued.
  pub fn cancel(&mut self, ticket: u64) -> bool {
    let Some(TicketState::Queued { lane }) = self.tickets.get(&ticket).copied() else {
      return false;
    };
    self.tickets.remove(&ticket);
    self.queue.remove(lane, ticket)
  }

  /// Appends the queued calls to start or to drop.
  pub fn poll(&mut self, now: Instant, actions: &mut Vec<GateAction>) {
    self.tick(now);
    if self.earliest_expiry.is_some_and(|expiry| expiry <= now) {
      self.expire(now, actions);
    }
    while self.can_start(now) {
      let Some((lane, call)) = self.queue.pop() else {
        break;
      };
      if call.deadline <= now + self.limit.min_latency() {
        let reason = NotRunReason::Deadline;
        self.tickets.remove(&call.ticket);
        self.counts.lane(lane.is_nested()).record_dropped(reason);
        actions.push(GateAction::Drop(call.ticket, reason));
        continue;
      }
      self.start(call.ticket, call.priority, lane, call.queued, now);
      actions.push(GateAction::Start(call.ticket));
    }
    if self.queue.len() == 0 {
      self.earliest_expiry = None;
    }
  }

  /// When to poll next unless an event comes earlier.
  pub fn next_poll(&self) -> Option<Instant> {
    let busy = self.queue.len() > 0 || self.controller.reported_level() != Level::ALL;
    let tick = busy.then(|| self.last_tick + TICK_INTERVAL);
    // A finished call polls the gate, so that no time is needed while all slots are taken.
    let startable = self.queue.len() > 0 && self.in_flight < self.limit.current();
    let limited = self.rate_limit.filter(|_| startable);
    let sendable = limited.map(|limit| limit.next());
    let times = [self.earliest_expiry, tick, sendable];
    times.into_iter().flatten().min()
  }

  /// Replaces the announced slots. Calls in flight beyond them are left to finish.
  pub fn set_slots(&mut self, slots: Slots, now: Instant) {
    self.limit.set_slots(slots, now);
  }

  /// Applies what an answer of the upstream says about the rate of requests that it takes; `None`
  /// when it says nothing. `sent` is when the answered request was sent.
  pub fn set_rate_limit(&mut self, rate: Option<RequestRate>, sent: Instant, now: Instant) {
    let limited = self.rate_limit.is_some();
    self.rate_limit = RateLimit::after_answer(self.rate_limit, rate, sent, now);
    if self.rate_limit.is_some() != limited {
      self.controller.reset();
      self.begin_interval(now);
    }
  }

  /// Replaces the longest allowed wait, also for calls already queued.
  pub fn set_queue_wait(&mut self, queue_wait: Duration) {
    self.queue_wait = queue_wait;
    self.earliest_expiry = self.next_expiry();
  }

  pub(super) fn can_start(&mut self, now: Instant) -> bool {
    let limit = self.rate_limit.as_mut();
    self.in_flight < self.limit.current() && limit.is_none_or(|limit| limit.admits(now))
  }

  /// Calls per second that the upstream can take, once known.
  fn capacity(&self) -> Option<f64> {
    let capacities = [self.limit.capacity(), self.rate_limit()];
    capacities.into_iter().flatten().reduce(f64::min)
  }

  fn start(&mut self, ticket: u64, priority: Priority, lane: Lane, queued: Instant, now: Instant) {
    self.limit.observe(self.in_flight, now);
    if let Some(limit) = &mut self.rate_limit {
      limit.record_sent();
    }
    self.in_flight += 1;
    let half = priority.half_index().min(HALVES - 1);
    self
      .tickets
      .insert(ticket, TicketState::Running { half, since: now });
    self.last_wait = now.saturating_duration_since(queued);
    self.waits.record(lane, self.last_wait);
    let counts = self.counts.lane(lane.is_nested());
    counts.started += 1;
    counts.waited += self.last_wait;
  }

  fn enqueue(
    &mut self,
    lane: Lane,
    ticket: u64,
    priority: Priority,
    deadline: Instant,
    now: Instant,
  ) {
    self.tickets.insert(ticket, TicketState::Queued { lane });
    self.queue.push(
      lane,
      QueuedCall {
        ticket,
        priority,
        queued: now,
        deadline,
      },
    );
    let latest_start = deadline
      .checked_sub(self.limit.min_latency())
      .unwrap_or(now);
    // May be too early, since nested calls may wait longer; the next poll then corrects it.
    let expiry = latest_start.min(now + self.queue_wait);
    self.earliest_expiry = Some(
      self
        .earliest_expiry
        .map_or(expiry, |earliest| earliest.min(expiry)),
    );
  }

  fn expected_wait(&self, lane: Lane, priority: Priority) -> Duration {
    let ahead = self.queue.ahead(lane, priority) as f64;
    self.capacity().map_or(Duration::ZERO, |capacity| {
      Duration::from_secs_f64(ahead / capacity)
    })
  }

  fn expire(&mut self, now: Instant, actions: &mut Vec<GateAction>) {
    let earliest_end = now + self.limit.min_latency();
    let waits = self.max_waits();
    let (tickets, counts) = (&mut self.tickets, &mut self.counts);
    let limited = self.rate_limit.is_some();
    self.queue.expire(now, waits, earliest_end, |lane, call| {
      tickets.remove(&call.ticket);
      // A call that could still meet its deadline is dropped because it waited too long.
      let reason = if call.deadline <= earliest_end {
        NotRunReason::Deadline
      } else if limited {
        NotRunReason::Limit
      } else {
        NotRunReason::Shed
      };
      counts.lane(lane.is_nested()).record_dropped(reason);
      actions.push(GateAction::Drop(call.ticket, reason));
    });
    self.earliest_expiry = self.next_expiry();
  }

  /// Longest allowed waits in the queue. While only lower classes are shed, the most important
  /// class waits without a bound: it is shed last and soon gets their slots.
  fn max_waits(&self) -> MaxWaits {
    let top_class = if self.controller.sheds_lower_classes() {
      Duration::MAX
    } else {
      self.queue_wait
    };
    MaxWaits {
      top_class,
      other_classes: self.queue_wait,
    }
  }

  fn next_expiry(&self) -> Option<Instant> {
    self
      .queue
      .next_expiry(self.max_waits(), self.limit.min_latency())
  }
}
