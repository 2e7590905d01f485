//! Callers: arrivals, attempts and their ends.

use {
  super::{CALLER_LATENCY, Event, Simulation},
  crate::policy::{
    request::Request,
    scenario::{DEADLINE, NORMAL_LOAD, OVERLOAD, RECOVERY, WARM_UP},
  },
  cactusyoke_model::{ClassRank, Priority, RequestId},
  rand::Rng,
  std::time::{Duration, Instant},
};

impl Simulation {
  /// Handles an arrival and schedules the next one; arrivals are a Poisson process.
  pub(super) fn arrival(&mut self) {
    let load = if self.in_overload() {
      self.scenario.surge
    } else {
      NORMAL_LOAD
    };
    let gap = -self.rng.random::<f64>().max(1e-12).ln() / (load * self.deployment.capacity());
    let next = self.now + Duration::from_secs_f64(gap);
    if next < self.start + WARM_UP + OVERLOAD + RECOVERY {
      self.schedule(next, Event::Arrival);
    }
    let mut draw = self.rng.random::<f64>();
    let class = self
      .deployment
      .classes
      .iter()
      .position(|(_, share)| {
        draw -= share;
        draw < 0.0
      })
      .unwrap_or(3);
    self.send(class, self.now, 1, self.now);
  }

  pub(super) fn send(&mut self, class: usize, arrived: Instant, attempt: u32, now: Instant) {
    let root = RequestId::random(&mut self.rng);
    let entry = self.rng.random_range(0..self.servers.len());
    self.requests.push(Request {
      class,
      priority: Priority::new(ClassRank(class as u8), root),
      arrived,
      sent: now,
      answered: None,
      attempt,
      entry,
      servers: [0; 3],
      sent_to: [now; 3],
      work: 0.0,
      work_end: now,
      ended: false,
    });
    let request = self.requests.len() - 1;
    self.schedule(now + CALLER_LATENCY, Event::Attempt(request));
    self.schedule(now + DEADLINE, Event::Timeout(request));
  }

  pub(super) fn answer(&mut self, request: usize, success: bool) {
    let arrives = self.now + CALLER_LATENCY;
    if !success {
      self.fail(request, arrives);
      return;
    }
    let request = &mut self.requests[request];
    if !request.ended && arrives <= request.sent + DEADLINE {
      request.ended = true;
      request.answered = Some(arrives);
    }
  }

  /// Handles the failure of an attempt, of which its caller learns at `at`.
  pub(super) fn fail(&mut self, request: usize, at: Instant) {
    let request = &mut self.requests[request];
    if request.ended || at > request.sent + DEADLINE {
      return;
    }
    request.ended = true;
    if request.attempt < self.scenario.attempts {
      let (class, arrived, attempt) = (request.class, request.arrived, request.attempt);
      self.send(class, arrived, attempt + 1, at);
    }
  }
}
