//! Discrete-event simulation of a chain of services under one policy.

mod callers;
mod work;

use {
  super::{
    request::Request,
    scenario::{DEADLINE, Deployment, OVERLOAD, RECOVERY, Scenario, WARM_UP},
    server::{Policy, Server},
    summary::{Attempt, Summary},
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

/// One-way latency between two nodes of a data centre.
const NODE_LATENCY: Duration = Duration::from_micros(250);
/// One-way latency between a caller and the data centre.
const CALLER_LATENCY: Duration = Duration::from_millis(8);

/// Deadline at the servers: a later response would not reach the caller in time.
const SERVER_DEADLINE: Duration = DEADLINE.saturating_sub(CALLER_LATENCY);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
  /// A caller sends a new request.
  Arrival,
  /// A request reaches its entry node.
  Attempt(usize),
  /// A request reaches an instance of a hop.
  Delivery(usize, usize),
  /// The upstream of a hop finished its own work for a request.
  WorkDone(usize, usize),
  /// The last service becomes slow, or normal again.
  SpeedChange(bool),
  /// The response of a hop arrives: request, hop, success and strictest level.
  Response(usize, usize, bool, Level),
  /// The caller of a request gives up at its deadline.
  Timeout(usize),
  /// A gate is polled; by server.
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
  /// Requests that the last service is working on.
  in_last_service: BTreeSet<usize>,
}

impl Simulation {
  pub fn run(deployment: Deployment, scenario: Scenario, policy: Policy, seed: u64) -> Summary {
    let start = Instant::now();
    let services = (0..3)
      .flat_map(|service| vec![service; deployment.chain[service].servers])
      .collect::<Vec<usize>>();
    let servers = services
      .iter()
      .map(|service| Server::new(policy, deployment.chain[*service].slots, start))
      .collect();
    let candidates = [0, 1, 2].map(|service| {
      (0..services.len())
        .filter(|server| services[*server] == service)
        .map(|server| Candidate {
          node: node(server),
          // Long before the run, so that no slow start is simulated.
          since: start.checked_sub(Duration::from_mins(1)).unwrap_or(start),
          slots: Slots(deployment.chain[service].slots),
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
      in_last_service: BTreeSet::new(),
    };
    simulation.schedule(start, Event::Arrival);
    simulation.schedule(start + WARM_UP, Event::SpeedChange(true));
    simulation.schedule(start + WARM_UP + OVERLOAD, Event::SpeedChange(false));
    let end = start + WARM_UP + OVERLOAD + RECOVERY + DEADLINE;
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
      if at > end {
        break;
      }
      simulation.now = at;
      simulation.handle(event);
    }
    let attempts = simulation.requests.into_iter().map(|request| Attempt {
      class: request.class,
      arrived: request.arrived - start,
      sent: request.sent - start,
      answered: request.answered.map(|answered| answered - start),
      number: request.attempt,
      work: request.work,
    });
    Summary::new(deployment, scenario, &attempts.collect::<Vec<Attempt>>())
  }

  fn schedule(&mut self, at: Instant, event: Event) {
    self.sequence += 1;
    self.events.push(Reverse((at, self.sequence, event)));
  }

  fn in_overload(&self) -> bool {
    let since = self.now - self.start;
    (WARM_UP..WARM_UP + OVERLOAD).contains(&since)
  }

  fn handle(&mut self, event: Event) {
    match event {
      Event::Arrival => self.arrival(),
      Event::Attempt(request) => self.attempt(request),
      Event::Delivery(request, hop) => self.delivery(request, hop),
      Event::WorkDone(request, hop) if self.requests[request].work_end == self.now => {
        self.finish_work(request, hop);
      }
      // Outdated: the service changed its speed and another event was scheduled for the call.
      Event::WorkDone(..) => {}
      Event::SpeedChange(slow) => self.change_speed(slow),
      Event::Response(request, hop, success, level) => self.response(request, hop, success, level),
      Event::Timeout(request) => self.fail(request, self.now),
      Event::Poll(server) => {
        self.servers[server].poll = None;
        self.poll(server);
      }
    }
  }

  /// Handles the arrival of an attempt at its entry node.
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

  /// Sends the call to an instance of hop `hop`, from hop `hop - 1` or the entry node.
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
    self.schedule(self.now + NODE_LATENCY, Event::Delivery(request, hop));
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
      sent + SERVER_DEADLINE,
      self.now,
    );
    match offer {
      OfferOutcome::Start => self.start_work(request, hop),
      OfferOutcome::Queued { evicted: None } => {}
      OfferOutcome::Queued {
        evicted: Some(evicted),
      } => self.respond(evicted, false, Level::ALL),
      OfferOutcome::Refused(_) => self.respond(ticket(request, hop), false, Level::ALL),
    }
    self.poll(server);
  }

  fn finish_work(&mut self, request: usize, hop: usize) {
    if hop < 2 {
      self.forward(request, hop + 1);
      return;
    }
    self.in_last_service.remove(&request);
    self.complete(request, hop, true, Level::ALL);
  }

  /// Ends a call at its upstream. `below` is the strictest level that later hops reported for it.
  fn complete(&mut self, request: usize, hop: usize, success: bool, below: Level) {
    let server = self.requests[request].servers[hop];
    let completion = if success {
      Completion::Succeeded
    } else {
      Completion::Failed
    };
    self.servers[server].finish(ticket(request, hop), completion, self.now);
    self.respond(ticket(request, hop), success, below);
    self.poll(server);
  }

  fn respond(&mut self, ticket: u64, success: bool, below: Level) {
    let (request, hop) = ((ticket / 4) as usize, (ticket % 4) as usize);
    let server = &self.servers[self.requests[request].servers[hop]];
    let level = server.level(self.now).min(below);
    self.schedule(
      self.now + NODE_LATENCY,
      Event::Response(request, hop, success, level),
    );
  }

  fn response(&mut self, request: usize, hop: usize, success: bool, level: Level) {
    let sender = self.sender(request, hop);
    let server = self.requests[request].servers[hop];
    let sample = CallSample {
      outcome: if success {
        CallOutcome::Answered
      } else {
        CallOutcome::NotRun
      },
      latency: self.now - self.requests[request].sent_to[hop],
      waited: Duration::ZERO,
      route: None,
      load: self.servers[server].load(),
    };
    self.servers[sender].routers[hop].record_outcome(node(server), &sample, self.now);
    if hop == 0 {
      self.servers[sender]
        .levels
        .observe(&self.route, level, NODE_LATENCY, self.now);
      self.answer(request, success);
      return;
    }
    self.complete(request, hop - 1, success, level);
  }

  fn poll(&mut self, server: usize) {
    for action in self.servers[server].poll(self.now) {
      match action {
        GateAction::Start(ticket) => self.start_work((ticket / 4) as usize, (ticket % 4) as usize),
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
