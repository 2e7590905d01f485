//! Discrete-event simulation of the tightest service and of the nodes at which requests enter.

use {
  cactusyoke_decisions::load::{
    Completion, Costs, Gate, GateAction, GateConfig, GateCounts, Levels, OfferOutcome,
  },
  cactusyoke_model::{Bottleneck, ClassRank, Level, Priority, RequestId, RouteName, Slots},
  rand::{Rng, SeedableRng, rngs::SmallRng},
  std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
  },
};

const WARM_UP: Duration = Duration::from_secs(5);
const END: Duration = Duration::from_secs(35);
/// One way between two nodes.
const LATENCY: Duration = Duration::from_millis(1);
/// Nodes at which requests enter.
const ENTRIES: usize = 13;
/// Wait before a caller tries again.
const RETRY_DELAY: Duration = Duration::from_millis(300);

fn ms(millis: f64) -> Duration {
  Duration::from_secs_f64(millis / 1000.0)
}

/// Requests of one route.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
  pub name: &'static str,
  pub rank: ClassRank,
  /// New requests per second.
  pub rate: f64,
  /// Work before the first call, milliseconds.
  pub work: f64,
  /// Work between two calls, milliseconds.
  pub gap: f64,
  /// Calls to the tightest service; zero for requests that start there.
  pub calls: u32,
  pub time_limit: Duration,
}

/// Requests, and the instance of the tightest service that serves them.
#[derive(Clone, Copy, Debug)]
pub struct Load {
  pub kinds: [Kind; 3],
  pub slots: Slots,
  /// Mean run time of a nested call, milliseconds.
  pub call_time: f64,
  /// Share by which the rates rise and fall around their means, in a period of `period`.
  pub swing: f64,
  pub period: Duration,
  /// Requests that come at the same moment, on average.
  pub clump: f64,
}

/// What a node at which requests enter knows.
#[derive(Debug)]
struct Entry {
  levels: Levels,
  costs: Costs,
}

struct Request {
  kind: usize,
  entry: usize,
  priority: Priority,
  sent: Instant,
  retried: bool,
  calls_left: u32,
  /// Time in slots of the tightest service.
  slot_time: Duration,
  /// Strictest level that its calls reported.
  level: Level,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
  Arrival(usize),
  Retry(usize),
  /// A request calls the tightest service, or arrives there.
  Offer(usize),
  /// The run of a call or request at the tightest service ends.
  Done(usize),
  Poll,
}

/// Requests of one kind that were sent after the warm-up.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
  pub callers: u32,
  pub served: u32,
  /// Failed after admission, at the cost of the work done for them.
  pub failed: u32,
}

impl Outcomes {
  pub fn served_share(self) -> f64 {
    f64::from(self.served) / f64::from(self.callers)
  }
}

impl Entry {
  fn new(now: Instant) -> Self {
    Self {
      levels: Levels::new(now),
      costs: Costs::new(),
    }
  }
}

pub struct Simulation {
  load: Load,
  start: Instant,
  now: Instant,
  rng: SmallRng,
  events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
  sequence: u64,
  gate: Gate,
  entries: Vec<Entry>,
  routes: [RouteName; 3],
  requests: Vec<Request>,
  pub outcomes: [Outcomes; 3],
  pub counts: GateCounts,
}

impl Simulation {
  pub fn run(load: Load, seed: u64) -> Self {
    let start = Instant::now();
    let config = GateConfig {
      slots: load.slots,
      max_queued: 1000,
      queue_wait: Duration::from_millis(150),
      cold_start: Duration::ZERO,
      adaptive_limit: false,
      nested_wait: 0.25,
    };
    let mut simulation = Self {
      load,
      start,
      now: start,
      rng: SmallRng::seed_from_u64(seed),
      events: BinaryHeap::new(),
      sequence: 0,
      gate: Gate::new(config, start),
      entries: (0..ENTRIES).map(|_| Entry::new(start)).collect(),
      routes: load
        .kinds
        .map(|kind| kind.name.parse().expect("a valid name")),
      requests: Vec::new(),
      outcomes: [Outcomes::default(); 3],
      counts: GateCounts::default(),
    };
    for kind in 0..load.kinds.len() {
      simulation.schedule(start, Event::Arrival(kind));
    }
    simulation.schedule(start, Event::Poll);
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
      if at > start + END {
        break;
      }
      simulation.now = at;
      simulation.handle(event);
    }
    simulation.counts = simulation.gate.take_counts();
    simulation
  }

  fn schedule(&mut self, at: Instant, event: Event) {
    self.sequence += 1;
    self.events.push(Reverse((at, self.sequence, event)));
  }

  fn handle(&mut self, event: Event) {
    match event {
      Event::Arrival(kind) => {
        let Load {
          swing,
          period,
          clump,
          ..
        } = self.load;
        let turns = (self.now - self.start).as_secs_f64() / period.as_secs_f64();
        let wave = 1.0 + swing * (turns * std::f64::consts::TAU).sin();
        let rate = self.load.kinds[kind].rate * wave / clump;
        let gap = -self.rng.random::<f64>().max(1e-12).ln() / rate;
        self.schedule(self.now + ms(gap * 1000.0), Event::Arrival(kind));
        self.send(kind, false);
        while clump > 1.0 && self.rng.random_bool(1.0 - 1.0 / clump) {
          self.send(kind, false);
        }
      }
      Event::Retry(kind) => self.send(kind, true),
      Event::Offer(request) => self.offer(request),
      Event::Done(request) => self.done(request),
      Event::Poll => {
        self.poll();
        self.schedule(self.now + Duration::from_millis(5), Event::Poll);
      }
    }
  }

  fn outcomes(&mut self, request: usize) -> Option<&mut Outcomes> {
    let Request { kind, sent, .. } = self.requests[request];
    (sent >= self.start + WARM_UP).then(|| &mut self.outcomes[kind])
  }

  fn send(&mut self, kind: usize, retried: bool) {
    let root = RequestId::random(&mut self.rng);
    let Kind {
      rank, calls, work, ..
    } = self.load.kinds[kind];
    let route = &self.routes[kind];
    let entry = self.rng.random_range(0..ENTRIES);
    let Entry { levels, costs } = &self.entries[entry];
    let priority = costs.priority(route, rank, root, self.now);
    let admitted = levels.admits(route, priority, self.now);
    self.requests.push(Request {
      kind,
      entry,
      priority,
      sent: self.now,
      retried,
      calls_left: calls,
      slot_time: Duration::ZERO,
      level: Level::ALL,
    });
    let request = self.requests.len() - 1;
    if !retried && let Some(outcomes) = self.outcomes(request) {
      outcomes.callers += 1;
    }
    if !admitted {
      self.refuse(request);
    } else if calls == 0 {
      self.schedule(self.now + LATENCY, Event::Offer(request));
    } else {
      let work = work * self.rng.random_range(0.5..1.5);
      self.schedule(self.now + ms(work), Event::Offer(request));
    }
  }

  /// The caller of a refused or failed request tries again, unless it did already.
  fn refuse(&mut self, request: usize) {
    let Request { kind, retried, .. } = self.requests[request];
    if !retried {
      self.schedule(self.now + RETRY_DELAY, Event::Retry(kind));
    }
  }

  fn offer(&mut self, request: usize) {
    let Request {
      kind,
      priority,
      sent,
      ..
    } = self.requests[request];
    let Kind {
      calls, time_limit, ..
    } = self.load.kinds[kind];
    let (ticket, deadline) = (request as u64, sent + time_limit);
    let offer = if calls == 0 {
      self.gate.offer(ticket, priority, deadline, self.now)
    } else {
      self.gate.offer_nested(ticket, priority, deadline, self.now)
    };
    match offer {
      OfferOutcome::Start => self.start(request),
      OfferOutcome::Queued { evicted } => assert_eq!(evicted, None),
      OfferOutcome::Refused(_) => self.drop_call(request),
    }
    self.poll();
  }

  fn start(&mut self, request: usize) {
    let Kind { calls, work, .. } = self.load.kinds[self.requests[request].kind];
    let mean = if calls == 0 {
      work
    } else {
      self.load.call_time
    };
    let time = ms(mean * self.rng.random_range(0.5..1.5));
    self.requests[request].slot_time += time;
    self.schedule(self.now + time, Event::Done(request));
  }

  fn done(&mut self, request: usize) {
    self
      .gate
      .finish(request as u64, Completion::Succeeded, self.now);
    self.observe(request);
    let Request {
      kind,
      sent,
      calls_left,
      ..
    } = self.requests[request];
    let in_time = self.now <= sent + self.load.kinds[kind].time_limit;
    if calls_left > 1 && in_time {
      self.requests[request].calls_left -= 1;
      let gap = ms(self.load.kinds[kind].gap) + LATENCY * 2;
      self.schedule(self.now + gap, Event::Offer(request));
    } else {
      self.end(request, in_time);
    }
    self.poll();
  }

  /// Takes the level of the gate for the answer of the request.
  fn observe(&mut self, request: usize) {
    let level = self.gate.level(self.now);
    let known = &mut self.requests[request].level;
    *known = level.min(*known);
  }

  /// The answer or refusal of a request reports the strictest level of its calls.
  fn report(&mut self, request: usize) {
    let Request {
      kind, entry, level, ..
    } = self.requests[request];
    let levels = &mut self.entries[entry].levels;
    levels.observe(&self.routes[kind], level, Duration::ZERO, self.now);
  }

  /// Ends a request that was answered, by success or by a failure of its upstream.
  fn end(&mut self, request: usize, success: bool) {
    let Request {
      kind,
      entry,
      slot_time,
      ..
    } = self.requests[request];
    self.report(request);
    let entry = &mut self.entries[entry];
    if success {
      let service = "warehouse".parse().expect("a valid name");
      let bottleneck = Bottleneck::new(&service, 1.0, slot_time);
      entry.costs.record(
        &self.routes[kind],
        self.load.kinds[kind].rank,
        bottleneck,
        self.now,
      );
    } else {
      self.refuse(request);
    }
    if let Some(outcomes) = self.outcomes(request) {
      if success {
        outcomes.served += 1;
      } else {
        outcomes.failed += 1;
      }
    }
  }

  /// Refuses a root request, or fails the request of a nested call.
  fn drop_call(&mut self, request: usize) {
    self.observe(request);
    if self.load.kinds[self.requests[request].kind].calls > 0 {
      self.end(request, false);
      return;
    }
    self.report(request);
    self.refuse(request);
  }

  fn poll(&mut self) {
    let mut actions = Vec::new();
    self.gate.poll(self.now, &mut actions);
    for action in actions {
      match action {
        GateAction::Start(ticket) => self.start(ticket as usize),
        GateAction::Drop(ticket, _) => self.drop_call(ticket as usize),
      }
    }
  }
}
