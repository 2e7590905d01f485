use {
  super::{
    Completion, Entry, GateAction, GateConfig, Limit, Line, OfferOutcome, Place, Queue, QueueOrder,
    Table, Threshold, Waits,
    queue::inner_wait,
    threshold::{HALVES, Pressure},
  },
  cactusyoke_model::{Level, NotRunReason, Outlook, Priority, Slots},
  std::time::{Duration, Instant},
};

/// Interval at which limit and level are adapted. It is of the order of the time that a report
/// takes to reach the senders; shorter intervals adapt again before the last step shows.
const TICK: Duration = Duration::from_millis(50);
/// Completions that the capacity allows in one interval of the level, up to `MAX_INTERVAL`. With
/// fewer, the level moves on before its last move shows.
const COMPLETIONS: f64 = 4.0;
const MAX_INTERVAL: Duration = Duration::from_millis(250);
/// Share of the longest wait that is tolerated before the level falls.
const TARGET_SHARE: f64 = 0.5;
/// Smoothing of the time that the calls of half a class run.
const TIME_WEIGHT: f64 = 0.05;
/// Smoothing of the utilisation, at each interval.
const USED_WEIGHT: f64 = 0.1;
/// Time without any event after which earlier load says nothing.
const STALE: Duration = Duration::from_secs(1);

/// Admission next to one upstream: a concurrency limit, a priority queue and an admission level.
#[derive(Debug)]
pub struct Gate {
  bound: usize,
  queue_wait: Duration,
  nested_wait: f64,
  queue: Queue,
  tickets: Table<u64, Place>,
  in_flight: u32,
  limit: Limit,
  threshold: Threshold,
  /// Time that new requests run by half class, smoothed, seconds; zero while it is not known.
  times: [f64; HALVES],
  /// Utilisation of the limit, smoothed.
  used: f64,
  ticked: Instant,
  /// Start of the level's interval.
  levelled: Instant,
  /// Earliest time at which a waiting call can expire; may be too early, never too late.
  expiry: Option<Instant>,
  /// Calls started since the last tick and the sum of their waits.
  started: u32,
  waited: Duration,
  /// The same for calls of requests that have been worked on.
  inner_started: u32,
  inner_waited: Duration,
  last_wait: Duration,
}

impl Gate {
  /// Gate of an upstream that began to serve at `now`.
  pub fn new(config: GateConfig, now: Instant) -> Self {
    Self::with_order(config, QueueOrder::default(), now)
  }

  /// Gate with a queue order other than the default.
  pub fn with_order(config: GateConfig, order: QueueOrder, now: Instant) -> Self {
    Self {
      bound: config.max_queued,
      queue_wait: config.queue_wait,
      nested_wait: config.nested_wait,
      queue: Queue::new(order),
      tickets: Table::default(),
      in_flight: 0,
      limit: Limit::new(config.slots, config.cold_start, config.adaptive_limit, now),
      threshold: Threshold::new(),
      times: [0.0; HALVES],
      used: 0.0,
      ticked: now,
      levelled: now,
      expiry: None,
      started: 0,
      waited: Duration::ZERO,
      inner_started: 0,
      inner_waited: Duration::ZERO,
      last_wait: Duration::ZERO,
    }
  }

  /// Offers a new request. `ticket` identifies it and must not be in use at this gate.
  pub fn offer(
    &mut self,
    ticket: u64,
    priority: Priority,
    deadline: Instant,
    now: Instant,
  ) -> OfferOutcome {
    self.offer_in(Line::root(priority), ticket, priority, deadline, now)
  }

  /// Offers a call of a request that upstreams above have worked on. It goes ahead of new requests
  /// of its class, is not held to the level, and waits longer than they may: shedding it throws
  /// that work away.
  pub fn offer_nested(
    &mut self,
    ticket: u64,
    priority: Priority,
    deadline: Instant,
    now: Instant,
  ) -> OfferOutcome {
    self.offer_in(Line::inner(priority), ticket, priority, deadline, now)
  }

  fn offer_in(
    &mut self,
    line: Line,
    ticket: u64,
    priority: Priority,
    deadline: Instant,
    now: Instant,
  ) -> OfferOutcome {
    self.tick(now);
    if self.tickets.contains_key(&ticket) {
      return OfferOutcome::Refused(NotRunReason::BadRequest);
    }
    self.threshold.arrived(priority);
    if !line.is_inner() && !self.threshold.enforced().admits(priority) {
      return OfferOutcome::Refused(NotRunReason::Shed);
    }
    let half = priority.half().min(HALVES - 1);
    let latest = now + self.limit.fastest();
    if deadline <= latest {
      return OfferOutcome::Refused(NotRunReason::Deadline);
    }
    if self.queue.len() == 0 && self.in_flight < self.limit.current() {
      self.start(ticket, half, line, now, now);
      return OfferOutcome::Start;
    }
    if deadline <= latest + self.expected_wait(line) {
      return OfferOutcome::Refused(NotRunReason::Deadline);
    }
    let mut evicted = None;
    if self.queue.len() >= self.bound {
      let Some(entry) = self.queue.evict_below(line) else {
        return OfferOutcome::Refused(NotRunReason::QueueFull);
      };
      self.tickets.remove(&entry.ticket);
      evicted = Some(entry.ticket);
    }
    self.enqueue(line, ticket, half, deadline, now);
    OfferOutcome::Queued { evicted }
  }

  /// Ends a call that was started. Other tickets are ignored.
  pub fn finish(&mut self, ticket: u64, done: Completion, now: Instant) {
    let Some(Place::Running { half, since }) = self.tickets.get(&ticket).copied() else {
      return;
    };
    self.tickets.remove(&ticket);
    self.limit.observe(self.in_flight, now);
    self.in_flight -= 1;
    self.limit.completed(since, done, now);
    if done == Completion::Succeeded {
      let time = now.saturating_duration_since(since).as_secs_f64();
      let known = &mut self.times[half];
      *known = if *known == 0.0 {
        time
      } else {
        *known + (time - *known) * TIME_WEIGHT
      };
    }
    self.tick(now);
  }

  /// Removes a waiting call. False when the ticket does not wait.
  pub fn cancel(&mut self, ticket: u64) -> bool {
    let Some(Place::Queued { line }) = self.tickets.get(&ticket).copied() else {
      return false;
    };
    self.tickets.remove(&ticket);
    self.queue.remove(line, ticket)
  }

  /// Appends what to do with waiting calls.
  pub fn poll(&mut self, now: Instant, actions: &mut Vec<GateAction>) {
    self.tick(now);
    if self.expiry.is_some_and(|expiry| expiry <= now) {
      self.expire(now, actions);
    }
    while self.in_flight < self.limit.current() {
      let Some((line, entry)) = self.queue.pop() else {
        break;
      };
      if entry.deadline <= now + self.limit.fastest() {
        self.tickets.remove(&entry.ticket);
        actions.push(GateAction::Drop(entry.ticket, NotRunReason::Deadline));
        continue;
      }
      self.start(entry.ticket, entry.half, line, entry.queued, now);
      actions.push(GateAction::Start(entry.ticket));
    }
    if self.queue.len() == 0 {
      self.expiry = None;
    }
  }

  /// Time of the next poll when no event comes before.
  pub fn next_poll(&self) -> Option<Instant> {
    let busy = self.queue.len() > 0 || self.threshold.level() != Level::ALL;
    let tick = busy.then(|| self.ticked + TICK);
    self.expiry.into_iter().chain(tick).min()
  }

  /// Admission level to report to senders.
  pub fn level(&self, now: Instant) -> Level {
    if self.queue.len() == 0 && now.saturating_duration_since(self.ticked) >= STALE {
      return Level::ALL;
    }
    self.threshold.level()
  }

  /// Calls in flight and waiting.
  pub fn load(&self) -> u32 {
    self.in_flight + self.queued()
  }

  /// What a sender can expect of the gate.
  pub fn outlook(&self) -> Outlook {
    let pace = |capacity: f64| Duration::from_secs_f64(1.0 / capacity);
    Outlook {
      load: self.load(),
      queued: self.queued(),
      urgent: self.queue.urgent() as u32,
      used: (self.used.clamp(0.0, 1.0) * 255.0) as u8,
      room: self.limit.current().saturating_sub(self.load()),
      pace: self.limit.capacity().map_or(Duration::ZERO, pace),
    }
  }

  /// Part of the slots in use, smoothed over about a second.
  pub const fn utilisation(&self) -> f64 {
    self.used
  }

  /// Calls that may be in flight.
  pub fn limit(&self) -> u32 {
    self.limit.current()
  }

  /// Calls in flight.
  pub const fn in_flight(&self) -> u32 {
    self.in_flight
  }

  /// Calls waiting.
  pub fn queued(&self) -> u32 {
    self.queue.len() as u32
  }

  /// Wait of the call that started last.
  pub const fn last_wait(&self) -> Duration {
    self.last_wait
  }

  /// Replaces the announced slots. Calls in flight above them finish.
  pub fn set_slots(&mut self, slots: Slots, now: Instant) {
    self.limit.set_slots(slots, now);
  }

  /// Replaces the longest wait, also for calls that wait already.
  pub fn set_queue_wait(&mut self, queue_wait: Duration) {
    self.queue_wait = queue_wait;
    self.expiry = self.next_expiry();
  }

  fn start(&mut self, ticket: u64, half: usize, line: Line, queued: Instant, now: Instant) {
    self.limit.observe(self.in_flight, now);
    self.in_flight += 1;
    self
      .tickets
      .insert(ticket, Place::Running { half, since: now });
    self.last_wait = now.saturating_duration_since(queued);
    self.waited += self.last_wait;
    self.started += 1;
    if line.is_inner() {
      self.inner_waited += self.last_wait;
      self.inner_started += 1;
    }
  }

  fn enqueue(&mut self, line: Line, ticket: u64, half: usize, deadline: Instant, now: Instant) {
    self.tickets.insert(ticket, Place::Queued { line });
    self.queue.push(
      line,
      Entry {
        ticket,
        half,
        queued: now,
        deadline,
      },
    );
    let latest = deadline.checked_sub(self.limit.fastest()).unwrap_or(now);
    // Too early for most calls of requests that have been worked on, which is found out then.
    let expiry = latest.min(now + self.queue_wait);
    self.expiry = Some(self.expiry.map_or(expiry, |earliest| earliest.min(expiry)));
  }

  fn expected_wait(&self, line: Line) -> Duration {
    let ahead = self.queue.ahead(line) as f64;
    self.limit.capacity().map_or(Duration::ZERO, |capacity| {
      Duration::from_secs_f64(ahead / capacity)
    })
  }

  fn expire(&mut self, now: Instant, actions: &mut Vec<GateAction>) {
    let latest = now + self.limit.fastest();
    let waits = self.waits();
    let tickets = &mut self.tickets;
    self.queue.expire(now, waits, latest, |entry| {
      tickets.remove(&entry.ticket);
      // A call that waited too long was shed, whether or not its deadline has come.
      let reason = if entry.deadline <= latest {
        NotRunReason::Deadline
      } else {
        NotRunReason::Shed
      };
      actions.push(GateAction::Drop(entry.ticket, reason));
    });
    self.expiry = self.next_expiry();
  }

  /// Longest waits of the most important class and of the others. The most important one waits on
  /// while the level sheds the others only: it is about to get their slots, and is shed last.
  fn waits(&self) -> Waits {
    let first = if self.threshold.sheds_lower_classes() {
      Duration::MAX
    } else {
      self.queue_wait
    };
    Waits {
      first,
      others: self.queue_wait,
    }
  }

  fn next_expiry(&self) -> Option<Instant> {
    self.queue.next_expiry(self.waits(), self.limit.fastest())
  }

  fn tick(&mut self, now: Instant) {
    let elapsed = now.saturating_duration_since(self.ticked);
    if elapsed < TICK {
      return;
    }
    self.ticked = now;
    self.limit.observe(self.in_flight, now);
    self.limit.tick(now);
    self.used += (self.limit.utilisation() - self.used) * USED_WEIGHT;
    if elapsed >= STALE && self.queue.len() == 0 {
      self.threshold.reset();
    }
    let Some(capacity) = self.limit.capacity() else {
      return;
    };
    let elapsed = now.saturating_duration_since(self.levelled);
    if elapsed < MAX_INTERVAL && elapsed.as_secs_f64() * capacity < COMPLETIONS {
      return;
    }
    self.levelled = now;
    let longest = |wait: Duration| wait.as_secs_f64() * TARGET_SHARE;
    let (wait, target) = if self.inner_started > 0 {
      let wait = mean(self.inner_waited, self.inner_started);
      let running = f64::from(self.limit.current()) / capacity;
      let longest = longest(inner_wait(self.queue_wait));
      (wait, (running * self.nested_wait).min(longest))
    } else {
      (mean(self.waited, self.started), longest(self.queue_wait))
    };
    self.threshold.tick(&Pressure {
      elapsed: elapsed.as_secs_f64(),
      utilisation: self.limit.utilisation(),
      slots: f64::from(self.limit.current()),
      mean: f64::from(self.limit.current()) / capacity,
      times: &self.times,
      wait,
      target,
      queue: &self.queue,
    });
    self.started = 0;
    self.waited = Duration::ZERO;
    self.inner_started = 0;
    self.inner_waited = Duration::ZERO;
  }
}

/// Mean wait, seconds.
fn mean(waited: Duration, started: u32) -> f64 {
  waited.as_secs_f64() / f64::from(started.max(1))
}
