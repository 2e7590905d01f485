use {
  super::{
    Completion, DeterministicMap, GateAction, GateConfig, GateCounts, Lane, LevelController, Limit,
    MaxWaits, OfferOutcome, Queue, QueueOrder, QueuedCall, RateLimit, TicketState,
    level_controller::{CLASSES, HALVES, IntervalStats},
    queue::max_nested_wait,
  },
  cactusyoke_model::{InstanceLoad, Level, NotRunReason, Priority, RequestRate, Slots},
  std::time::{Duration, Instant},
};

/// Shortest interval at which the limit and the level are adapted. It is about the time that a
/// report takes to reach the senders; with shorter intervals the next step would follow before the
/// last one takes effect.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Calls that the upstream must be able to complete between two updates of the level. With fewer,
/// the level would move again before its last move takes effect.
const MIN_INTERVAL_COMPLETIONS: f64 = 4.0;
/// Longest time between two updates of the level, however few calls complete in it.
const MAX_LEVEL_INTERVAL: Duration = Duration::from_millis(250);
/// Share of the longest allowed wait that the mean wait may reach before the level falls.
const TOLERATED_SHARE: f64 = 0.5;
/// Smoothing of the run time of a half class.
const RUN_TIME_WEIGHT: f64 = 0.05;
/// Smoothing of the utilisation, per tick.
const UTILISATION_WEIGHT: f64 = 0.1;
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
  /// Calls started since the last adaptation of the limit, while the rate is limited.
  sent: u32,
  /// Calls started since the last update of the level, and the sum of their waits.
  started: u32,
  waited: Duration,
  /// The same for nested calls only.
  nested_started: u32,
  nested_waited: Duration,
  /// The same by class.
  nested_waits: [(u32, Duration); CLASSES],
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
      sent: 0,
      started: 0,
      waited: Duration::ZERO,
      nested_started: 0,
      nested_waited: Duration::ZERO,
      nested_waits: [(0, Duration::ZERO); CLASSES],
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
    let counts = self.counts.lane(lane.is_nested());
    counts.offered += 1;
    if !lane.is_nested() && !self.controller.enforced_level().admits(priority) {
      counts.above_level += 1;
      return OfferOutcome::Refused(NotRunReason::Shed);
    }
    let half = priority.half_index().min(HALVES - 1);
    let earliest_end = now + self.limit.min_latency();
    if deadline <= earliest_end {
      counts.late += 1;
      return OfferOutcome::Refused(NotRunReason::Deadline);
    }
    if self.queue.len() == 0 && self.can_start(now) {
      self.start(ticket, half, lane, now, now);
      return OfferOutcome::Start;
    }
    let expected_wait = self.expected_wait(lane);
    if self.rate_limit.is_some() && expected_wait > self.max_waits().for_lane(lane) {
      self.counts.lane(lane.is_nested()).over_rate += 1;
      return OfferOutcome::Refused(NotRunReason::Limit);
    }
    if deadline <= earliest_end + expected_wait {
      self.counts.lane(lane.is_nested()).late += 1;
      return OfferOutcome::Refused(NotRunReason::Deadline);
    }
    let mut evicted = None;
    if self.queue.len() >= self.max_queued {
      let Some((evicted_lane, call)) = self.queue.evict_below(lane) else {
        self.counts.lane(lane.is_nested()).overflowed += 1;
        return OfferOutcome::Refused(NotRunReason::QueueFull);
      };
      self.counts.lane(evicted_lane.is_nested()).overflowed += 1;
      self.tickets.remove(&call.ticket);
      evicted = Some(call.ticket);
    }
    self.enqueue(lane, ticket, half, deadline, now);
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
        self.tickets.remove(&call.ticket);
        self.counts.lane(lane.is_nested()).late += 1;
        actions.push(GateAction::Drop(call.ticket, NotRunReason::Deadline));
        continue;
      }
      self.start(call.ticket, call.half, lane, call.queued, now);
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

  /// Admission level to report to senders.
  pub fn level(&self, now: Instant) -> Level {
    if self.queue.len() == 0 && now.saturating_duration_since(self.last_tick) >= OUTDATED_AFTER {
      return Level::ALL;
    }
    self.controller.reported_level()
  }

  /// Calls in flight and queued.
  pub fn outstanding(&self) -> u32 {
    self.in_flight + self.queued()
  }

  /// Load to report to senders.
  pub fn load(&self) -> InstanceLoad {
    let interval = |capacity: f64| Duration::from_secs_f64(1.0 / capacity);
    let free_slots = self.limit.current().saturating_sub(self.outstanding());
    let sendable = self.rate_limit.map_or(u32::MAX, |limit| limit.available());
    InstanceLoad {
      outstanding: self.outstanding(),
      queued: self.queued(),
      queued_nested: self.queue.nested_len() as u32,
      utilisation: (self.utilisation.clamp(0.0, 1.0) * 255.0) as u8,
      free_slots: free_slots.min(sendable),
      completion_interval: self.capacity().map_or(Duration::ZERO, interval),
    }
  }

  /// Decisions since the last call of this method.
  pub fn take_counts(&mut self) -> GateCounts {
    std::mem::take(&mut self.counts)
  }

  /// Share of the concurrency limit in use, smoothed over about a second.
  pub const fn utilisation(&self) -> f64 {
    self.utilisation
  }

  /// Concurrency limit, calls.
  pub fn limit(&self) -> u32 {
    self.limit.current()
  }

  /// Calls in flight.
  pub const fn in_flight(&self) -> u32 {
    self.in_flight
  }

  /// Calls queued.
  pub fn queued(&self) -> u32 {
    self.queue.len() as u32
  }

  /// Wait of the most recently started call.
  pub const fn last_wait(&self) -> Duration {
    self.last_wait
  }

  /// Replaces the announced slots. Calls in flight beyond them are left to finish.
  pub fn set_slots(&mut self, slots: Slots, now: Instant) {
    self.limit.set_slots(slots, now);
  }

  /// Applies what an answer of the upstream says about the rate of requests that it takes; `None`
  /// when it says nothing. `sent` is when the answered request was sent.
  pub fn set_rate_limit(&mut self, rate: Option<RequestRate>, sent: Instant, now: Instant) {
    self.rate_limit = RateLimit::after_answer(self.rate_limit, rate, sent, now);
  }

  /// Requests per second that the upstream takes, as it has stated.
  pub fn rate_limit(&self) -> Option<f64> {
    self.rate_limit.map(|limit| limit.per_second())
  }

  /// Replaces the longest allowed wait, also for calls already queued.
  pub fn set_queue_wait(&mut self, queue_wait: Duration) {
    self.queue_wait = queue_wait;
    self.earliest_expiry = self.next_expiry();
  }

  fn can_start(&mut self, now: Instant) -> bool {
    let limit = self.rate_limit.as_mut();
    self.in_flight < self.limit.current() && limit.is_none_or(|limit| limit.admits(now))
  }

  /// Calls per second that the upstream can take, once known.
  fn capacity(&self) -> Option<f64> {
    let capacities = [self.limit.capacity(), self.rate_limit()];
    capacities.into_iter().flatten().reduce(f64::min)
  }

  fn start(&mut self, ticket: u64, half: usize, lane: Lane, queued: Instant, now: Instant) {
    self.limit.observe(self.in_flight, now);
    if let Some(limit) = &mut self.rate_limit {
      limit.record_sent();
      self.sent += 1;
    }
    self.in_flight += 1;
    self
      .tickets
      .insert(ticket, TicketState::Running { half, since: now });
    self.last_wait = now.saturating_duration_since(queued);
    self.waited += self.last_wait;
    self.started += 1;
    let counts = self.counts.lane(lane.is_nested());
    counts.started += 1;
    counts.waited += self.last_wait;
    if lane.is_nested() {
      self.nested_waited += self.last_wait;
      self.nested_started += 1;
      let (started, waited) = &mut self.nested_waits[lane.class()];
      *started += 1;
      *waited += self.last_wait;
    }
  }

  fn enqueue(&mut self, lane: Lane, ticket: u64, half: usize, deadline: Instant, now: Instant) {
    self.tickets.insert(ticket, TicketState::Queued { lane });
    self.queue.push(
      lane,
      QueuedCall {
        ticket,
        half,
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

  fn expected_wait(&self, lane: Lane) -> Duration {
    let ahead = self.queue.ahead(lane) as f64;
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
      let counts = counts.lane(lane.is_nested());
      // A call that could still meet its deadline is dropped because it waited too long.
      let reason = if call.deadline <= earliest_end {
        counts.late += 1;
        NotRunReason::Deadline
      } else if limited {
        counts.over_rate += 1;
        NotRunReason::Limit
      } else {
        counts.expired += 1;
        NotRunReason::Shed
      };
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

  fn tick(&mut self, now: Instant) {
    let elapsed = now.saturating_duration_since(self.last_tick);
    if elapsed < TICK_INTERVAL {
      return;
    }
    self.last_tick = now;
    self.limit.observe(self.in_flight, now);
    self.limit.tick(now);
    let utilisation = match &self.rate_limit {
      Some(limit) => {
        let sendable = limit.per_second() * elapsed.as_secs_f64();
        let sent = f64::from(std::mem::take(&mut self.sent)) / sendable;
        self.limit.utilisation().max(sent.min(1.0))
      }
      None => self.limit.utilisation(),
    };
    self.utilisation += (utilisation - self.utilisation) * UTILISATION_WEIGHT;
    if elapsed >= OUTDATED_AFTER && self.queue.len() == 0 {
      self.controller.reset();
    }
    if self.rate_limit.is_some() {
      // Calls wait for the stated rate, not for slots, and another instance may have room. Senders
      // apply a level to all instances, so that it must not follow these waits.
      self.controller.reset();
      self.reset_waits(now);
      return;
    }
    let Some(capacity) = self.limit.capacity() else {
      return;
    };
    let elapsed = now.saturating_duration_since(self.level_updated);
    if elapsed < MAX_LEVEL_INTERVAL && elapsed.as_secs_f64() * capacity < MIN_INTERVAL_COMPLETIONS {
      return;
    }
    let tolerated = |wait: Duration| wait.as_secs_f64() * TOLERATED_SHARE;
    let (wait, tolerated_wait) = if self.nested_started > 0 {
      let wait = mean_wait(self.nested_waited, self.nested_started);
      let run_time = f64::from(self.limit.current()) / capacity;
      let tolerated = tolerated(max_nested_wait(self.queue_wait));
      (wait, (run_time * self.nested_wait).min(tolerated))
    } else {
      (
        mean_wait(self.waited, self.started),
        tolerated(self.queue_wait),
      )
    };
    self.controller.update(&IntervalStats {
      elapsed: elapsed.as_secs_f64(),
      utilisation: self.limit.utilisation(),
      slots: f64::from(self.limit.current()),
      run_time: f64::from(self.limit.current()) / capacity,
      run_times: &self.run_times,
      wait,
      tolerated_wait,
      nested_waits: &self
        .nested_waits
        .map(|(started, waited)| mean_wait(waited, started)),
      queue: &self.queue,
    });
    self.reset_waits(now);
  }

  /// Begins another interval of the level.
  fn reset_waits(&mut self, now: Instant) {
    self.level_updated = now;
    self.started = 0;
    self.waited = Duration::ZERO;
    self.nested_started = 0;
    self.nested_waited = Duration::ZERO;
    self.nested_waits = [(0, Duration::ZERO); CLASSES];
  }
}

/// Mean wait, seconds.
fn mean_wait(waited: Duration, started: u32) -> f64 {
  waited.as_secs_f64() / f64::from(started.max(1))
}
