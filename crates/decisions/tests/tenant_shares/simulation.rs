//! Simulated entry nodes and one gate that stands for all instances of a service.

use {
  cactusyoke_decisions::load::{
    Completion, Costs, Gate, GateAction, GateConfig, Levels, OfferOutcome, TenantShares,
  },
  cactusyoke_model::{ClassRank, Priority, RequestId, RouteName, Slots, TenantName},
  rand::{Rng, SeedableRng, rngs::SmallRng},
  std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
  },
};

pub const TENANTS: usize = 73;
const ENTRIES: usize = 61;
/// Usual requests per second of all tenants.
const RATE: f64 = 2400.0;
/// Mean running time of a request, seconds.
const WORK: f64 = 0.1;
/// Slots: 1.05 times what the usual requests take.
const SLOTS: u32 = (RATE * WORK * 1.05) as u32;
const RANK: ClassRank = ClassRank(1);
/// Start of the surge, and end of the run.
const SURGE: Duration = Duration::from_secs(15);
const END: Duration = Duration::from_secs(23);
/// Requests are counted until this time, so that all of them can end.
const LAST: Duration = Duration::from_secs(22);
const LATENCY: Duration = Duration::from_millis(1);

/// Load of one run.
#[derive(Clone, Copy, Debug)]
pub struct Load {
  /// Tenants that send more than usual during the surge, by their position from the largest.
  pub hot: &'static [usize],
  /// Factor of their requests.
  pub factor: f64,
  /// Factor of the requests of all tenants during the surge.
  pub all: f64,
  /// Entry nodes that the additional requests of a hot tenant use.
  pub spread: usize,
  /// Whether entry nodes know the shares of tenants.
  pub shares: bool,
}

/// Requests of a tenant during the surge.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
  pub sent: u32,
  pub served: u32,
}

impl Outcomes {
  pub fn share(self) -> f64 {
    f64::from(self.served) / f64::from(self.sent.max(1))
  }

  pub fn sum(outcomes: &[Self]) -> Self {
    Self {
      sent: outcomes.iter().map(|one| one.sent).sum(),
      served: outcomes.iter().map(|one| one.served).sum(),
    }
  }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
  /// Next request of a tenant at its usual rate.
  Usual(usize),
  /// Next additional request of a tenant.
  Additional(usize),
  Offer(usize),
  Done(usize),
  Poll,
}

struct Entry {
  levels: Levels,
  costs: Costs,
  shares: TenantShares,
}

struct Request {
  tenant: usize,
  entry: usize,
  priority: Priority,
  counted: bool,
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
  route: RouteName,
  tenants: Vec<TenantName>,
  requests: Vec<Request>,
  pub outcomes: [Outcomes; TENANTS],
}

/// Usual requests per second of a tenant: a power law.
pub fn usual_rate(tenant: usize) -> f64 {
  let weight = |tenant: usize| 1.0 / (tenant as f64 + 1.0);
  RATE * weight(tenant) / (0..TENANTS).map(weight).sum::<f64>()
}

impl Simulation {
  pub fn run(load: Load, seed: u64) -> Self {
    let start = Instant::now();
    let config = GateConfig {
      slots: Slots(SLOTS),
      max_queued: 4000,
      queue_wait: Duration::from_millis(150),
      cold_start: Duration::ZERO,
      adaptive_limit: false,
      nested_wait: 0.25,
    };
    let entry = || Entry {
      levels: Levels::new(start),
      costs: Costs::new(),
      shares: TenantShares::new(),
    };
    let name = |tenant| format!("tenant-{tenant}").parse().expect("a valid name");
    let mut simulation = Self {
      load,
      start,
      now: start,
      rng: SmallRng::seed_from_u64(seed),
      events: BinaryHeap::new(),
      sequence: 0,
      gate: Gate::new(config, start),
      entries: (0..ENTRIES).map(|_| entry()).collect(),
      route: "read".parse().expect("a valid name"),
      tenants: (0..TENANTS).map(name).collect(),
      requests: Vec::new(),
      outcomes: [Outcomes::default(); TENANTS],
    };
    for tenant in 0..TENANTS {
      simulation.schedule(start, Event::Usual(tenant));
      if simulation.additional_rate(tenant) > 0.0 {
        simulation.schedule(start + SURGE, Event::Additional(tenant));
      }
    }
    simulation.schedule(start, Event::Poll);
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
      if at > start + END {
        break;
      }
      simulation.now = at;
      simulation.handle(event);
    }
    simulation
  }

  fn additional_rate(&self, tenant: usize) -> f64 {
    let factor = if self.load.hot.contains(&tenant) {
      self.load.factor
    } else {
      1.0
    };
    usual_rate(tenant) * (factor * self.load.all - 1.0)
  }

  fn schedule(&mut self, at: Instant, event: Event) {
    self.sequence += 1;
    self.events.push(Reverse((at, self.sequence, event)));
  }

  fn gap(&mut self, rate: f64) -> Duration {
    Duration::from_secs_f64(-self.rng.random::<f64>().max(1e-12).ln() / rate)
  }

  fn handle(&mut self, event: Event) {
    match event {
      Event::Usual(tenant) => {
        let gap = self.gap(usual_rate(tenant));
        self.schedule(self.now + gap, event);
        let entry = self.rng.random_range(0..ENTRIES);
        self.send(tenant, entry);
      }
      Event::Additional(tenant) => {
        let gap = self.gap(self.additional_rate(tenant));
        self.schedule(self.now + gap, event);
        let hot = self.load.hot.contains(&tenant);
        let spread = if hot { self.load.spread } else { ENTRIES };
        let entry = self.rng.random_range(0..spread);
        self.send(tenant, entry);
      }
      Event::Offer(request) => self.offer(request),
      Event::Done(request) => {
        self
          .gate
          .finish(request as u64, Completion::Succeeded, self.now);
        let Request {
          tenant, counted, ..
        } = self.requests[request];
        self.outcomes[tenant].served += u32::from(counted);
        self.report(request);
        self.poll();
      }
      Event::Poll => {
        self.poll();
        self.schedule(self.now + Duration::from_millis(5), Event::Poll);
      }
    }
  }

  fn send(&mut self, tenant: usize, entry: usize) {
    let root = RequestId::random(&mut self.rng);
    let Entry {
      levels,
      costs,
      shares,
    } = &mut self.entries[entry];
    let priority = if self.load.shares {
      let share = shares.record(&self.tenants[tenant], self.now);
      costs.tenant_priority(&self.route, RANK, root, share, self.now)
    } else {
      costs.priority(&self.route, RANK, root, self.now)
    };
    let counted = (self.start + SURGE..self.start + LAST).contains(&self.now);
    self.outcomes[tenant].sent += u32::from(counted);
    if levels.admits(&self.route, priority, self.now) {
      self.requests.push(Request {
        tenant,
        entry,
        priority,
        counted,
      });
      self.schedule(self.now + LATENCY, Event::Offer(self.requests.len() - 1));
    }
  }

  fn offer(&mut self, request: usize) {
    let deadline = self.now + Duration::from_secs(1);
    let priority = self.requests[request].priority;
    match self
      .gate
      .offer(request as u64, priority, deadline, self.now)
    {
      OfferOutcome::Start => self.begin(request),
      OfferOutcome::Queued { evicted } => assert_eq!(evicted, None),
      OfferOutcome::Refused(_) => self.report(request),
    }
    self.poll();
  }

  fn begin(&mut self, request: usize) {
    let work = WORK * self.rng.random_range(0.5..1.5);
    self.schedule(
      self.now + Duration::from_secs_f64(work),
      Event::Done(request),
    );
  }

  /// The answer or refusal of a request reports the level of the gate.
  fn report(&mut self, request: usize) {
    let level = self.gate.level(self.now);
    let levels = &mut self.entries[self.requests[request].entry].levels;
    levels.observe(&self.route, level, Duration::ZERO, self.now);
  }

  fn poll(&mut self) {
    let mut actions = Vec::new();
    self.gate.poll(self.now, &mut actions);
    for action in actions {
      match action {
        GateAction::Start(ticket) => self.begin(ticket as usize),
        GateAction::Drop(ticket, _) => self.report(ticket as usize),
      }
    }
  }
}
