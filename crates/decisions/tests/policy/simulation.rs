//! Event queue of one chain of services under one policy. Time is simulated.

mod callers;
mod work;

use {
  super::{
    request::Request,
    scenario::{AFTER, DEADLINE, Deployment, Scenario, TROUBLE, WARM_UP},
    server::{Policy, Server},
    summary::{Finished, Summary},
  },
  cactusyoke_decisions::load::{
    CallOutcome, CallSample, Candidate, Completion, Criteria, GateAction, OfferOutcome,
  },
  cactusyoke_model::{Level, NodeId, RouteName, Slots},
  rand::{Rng, SeedableRng, rngs::SmallRng},
  std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
  },
};

/// One way between two nodes of a data centre.
const NETWORK: Duration = Duration::from_micros(250);
/// One way between caller and data centre.
const CALLER_NETWORK: Duration = Duration::from_millis(8);

/// Deadline of the servers, after which no response reaches the caller in time.
const TIME_AT_SERVERS: Duration = DEADLINE.saturating_sub(CALLER_NETWORK);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
  Arrival,
  Attempt(usize),
  Delivery(usize, usize),
  Worked(usize, usize),
  Speed(bool),
  Response(usize, usize, bool, Level),
  GaveUp(usize),
  Poll(usize),
}

pub struct Simulation {
  deployment: Deployment,
  scenario: Scenario,
  policy: Policy,
  start: Instant,
  now: Instant,
  events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
  sequence: u64,
  rng: SmallRng,
  servers: Vec<Server>,
  candidates: [Vec<Candidate>; 3],
  route: RouteName,
  requests: Vec<Request>,
  /// Requests that the last service works on.
  deepest: BTreeSet<usize>,
}

impl Simulation {
  pub fn run(deployment: Deployment, scenario: Scenario, policy: Policy, seed: u64) -> Summary {
    let start = Instant::now();
    let places = (0..3)
      .flat_map(|place| vec![place; deployment.chain[place].servers])
      .collect::<Vec<usize>>();
    let servers = places
      .iter()
      .map(|place| Server::new(policy, deployment.chain[*place].slots, start))
      .collect();
    let candidates = [0, 1, 2].map(|place| {
      (0..places.len())
        .filter(|server| places[*server] == place)
        .map(|server| Candidate {
          node: node(server),
          // Long before the run, so that no slow start is simulated.
          since: start.checked_sub(Duration::from_mins(1)).unwrap_or(start),
          slots: Slots(deployment.chain[place].slots),
          distance: Duration::ZERO,
        })
        .collect()
    });
    let mut simulation = Self {
      deployment,
      scenario,
      policy,
      start,
      now: start,
      events: BinaryHeap::new(),
      sequence: 0,
      rng: SmallRng::seed_from_u64(seed),
      servers,
      candidates,
      route: "chain".parse().expect("a valid name"),
      requests: Vec::new(),
      deepest: BTreeSet::new(),
    };
    simulation.schedule(start, Event::Arrival);
    simulation.schedule(start + WARM_UP, Event::Speed(true));
    simulation.schedule(start + WARM_UP + TROUBLE, Event::Speed(false));
    let end = start + WARM_UP + TROUBLE + AFTER + DEADLINE;
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
      if at > end {
        break;
      }
      simulation.now = at;
      simulation.handle(event);
    }
    let finished = simulation.requests.into_iter().map(|request| Finished {
      class: request.class,
      arrived: request.arrived - start,
      sent: request.sent - start,
      answered: request.answered.map(|answered| answered - start),
      attempt: request.attempt,
      work: request.work,
    });
    Summary::new(deployment, scenario, &finished.collect::<Vec<Finished>>())
  }

  fn schedule(&mut self, at: Instant, event: Event) {
    self.sequence += 1;
    self.events.push(Reverse((at, self.sequence, event)));
  }

  fn in_trouble(&self) -> bool {
    let since = self.now - self.start;
    (WARM_UP..WARM_UP + TROUBLE).contains(&since)
  }

  fn handle(&mut self, event: Event) {
    match event {
      Event::Arrival => self.arrival(),
      Event::Attempt(request) => self.attempt(request),
      Event::Delivery(request, hop) => self.delivery(request, hop),
      Event::Worked(request, hop) if self.requests[request].done == self.now => {
        self.worked(request, hop);
      }
      // The speed of the service has changed since; another event stands for the call.
      Event::Worked(..) => {}
      Event::Speed(slow) => self.change_speed(slow),
      Event::Response(request, hop, whole, level) => self.response(request, hop, whole, level),
      Event::GaveUp(request) => self.fail(request, self.now),
      Event::Poll(server) => {
        self.servers[server].poll = None;
        self.poll(server);
      }
    }
  }

  /// Arrives at the entry node.
  fn attempt(&mut self, request: usize) {
    let Request {
      entry, priority, ..
    } = self.requests[request];
    if matches!(self.policy, Policy::Adaptive(_))
      && !self.servers[entry]
        .levels
        .admits(&self.route, priority, self.now)
    {
      self.answer(request, false);
      return;
    }
    self.forward(request, 0);
  }

  /// Sends the call from hop `hop - 1`, or the entry node, to an instance of hop `hop`.
  fn forward(&mut self, request: usize, hop: usize) {
    let sender = self.sender(request, hop);
    let candidates = &self.candidates[hop];
    let node = match self.policy {
      Policy::Adaptive(_) => self.servers[sender].routers[hop]
        .pick(candidates, &Criteria::ANY, &mut self.rng, self.now)
        .expect("nothing is to be avoided"),
      _ => candidates[self.rng.random_range(0..candidates.len())].node,
    };
    self.servers[sender].routers[hop].record_sent(node, self.now);
    self.requests[request].servers[hop] = usize::from(node.0.port());
    self.requests[request].sent_to[hop] = self.now;
    self.schedule(self.now + NETWORK, Event::Delivery(request, hop));
  }

  fn sender(&self, request: usize, hop: usize) -> usize {
    match hop {
      0 => self.requests[request].entry,
      _ => self.requests[request].servers[hop - 1],
    }
  }

  fn delivery(&mut self, request: usize, hop: usize) {
    let Request {
      servers,
      priority,
      sent,
      ..
    } = self.requests[request];
    let server = servers[hop];
    let offer = self.servers[server].offer(
      ticket(request, hop),
      priority,
      hop > 0,
      sent + TIME_AT_SERVERS,
      self.now,
    );
    match offer {
      OfferOutcome::Start => self.begin(request, hop),
      OfferOutcome::Queued { evicted: None } => {}
      OfferOutcome::Queued {
        evicted: Some(evicted),
      } => self.respond(evicted, false, Level::ALL),
      OfferOutcome::Refused(_) => self.respond(ticket(request, hop), false, Level::ALL),
    }
    self.poll(server);
  }

  fn worked(&mut self, request: usize, hop: usize) {
    if hop < 2 {
      self.forward(request, hop + 1);
      return;
    }
    self.deepest.remove(&request);
    self.complete(request, hop, true, Level::ALL);
  }

  /// Ends a call at its upstream. `below` is the strictest level that the call met below.
  fn complete(&mut self, request: usize, hop: usize, whole: bool, below: Level) {
    let server = self.requests[request].servers[hop];
    let done = if whole {
      Completion::Succeeded
    } else {
      Completion::Failed
    };
    self.servers[server].finish(ticket(request, hop), done, self.now);
    self.respond(ticket(request, hop), whole, below);
    self.poll(server);
  }

  fn respond(&mut self, ticket: u64, whole: bool, below: Level) {
    let (request, hop) = ((ticket / 4) as usize, (ticket % 4) as usize);
    let server = &self.servers[self.requests[request].servers[hop]];
    let level = server.level(self.now).min(below);
    self.schedule(
      self.now + NETWORK,
      Event::Response(request, hop, whole, level),
    );
  }

  fn response(&mut self, request: usize, hop: usize, whole: bool, level: Level) {
    let sender = self.sender(request, hop);
    let server = self.requests[request].servers[hop];
    let completed = CallSample {
      outcome: if whole {
        CallOutcome::Answered
      } else {
        CallOutcome::NotRun
      },
      latency: self.now - self.requests[request].sent_to[hop],
      waited: Duration::ZERO,
      route: None,
      outlook: self.servers[server].outlook(),
    };
    self.servers[sender].routers[hop].record_outcome(node(server), &completed, self.now);
    if hop == 0 {
      self.servers[sender]
        .levels
        .observe(&self.route, level, NETWORK, self.now);
      self.answer(request, whole);
      return;
    }
    self.complete(request, hop - 1, whole, level);
  }

  fn poll(&mut self, server: usize) {
    for action in self.servers[server].poll(self.now) {
      match action {
        GateAction::Start(ticket) => self.begin((ticket / 4) as usize, (ticket % 4) as usize),
        GateAction::Drop(ticket, _) => self.respond(ticket, false, Level::ALL),
      }
    }
    let Some(next) = self.servers[server].next_poll() else {
      return;
    };
    if self.servers[server].poll.is_none_or(|poll| next < poll) {
      self.servers[server].poll = Some(next);
      self.schedule(next.max(self.now), Event::Poll(server));
    }
  }
}

const fn ticket(request: usize, hop: usize) -> u64 {
  request as u64 * 4 + hop as u64
}

fn node(server: usize) -> NodeId {
  NodeId(SocketAddr::from((Ipv4Addr::LOCALHOST, server as u16)))
}
