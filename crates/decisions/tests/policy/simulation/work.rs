//! Work of the upstreams.

use {
  super::{Event, Simulation},
  rand::Rng,
  std::time::Duration,
};

impl Simulation {
  pub(super) fn start_work(&mut self, request: usize, hop: usize) {
    let slow = hop == 2 && self.in_overload();
    let speed = if slow { self.scenario.speed } else { 1.0 };
    let work = self.deployment.chain[hop].work / 1000.0 / speed * self.rng.random_range(0.5..1.5);
    self.requests[request].work += work;
    let work_end = self.now + Duration::from_secs_f64(work);
    self.requests[request].work_end = work_end;
    if hop == 2 {
      self.in_last_service.insert(request);
    }
    self.schedule(work_end, Event::WorkDone(request, hop));
  }

  /// Slows the last service down, or restores its speed, also for the calls in progress.
  pub(super) fn change_speed(&mut self, slow: bool) {
    let factor = if slow {
      1.0 / self.scenario.speed
    } else {
      self.scenario.speed
    };
    if (factor - 1.0).abs() < f64::EPSILON {
      // Scheduling the same ends again would complete each call twice.
      return;
    }
    for request in self.in_last_service.clone() {
      let left = self.requests[request].work_end - self.now;
      let rescaled = left.mul_f64(factor);
      let work_end = self.now + rescaled;
      self.requests[request].work += rescaled.as_secs_f64() - left.as_secs_f64();
      self.requests[request].work_end = work_end;
      self.schedule(work_end, Event::WorkDone(request, 2));
    }
  }
}
