//! Work of the upstreams.

use {
  super::{Event, Simulation},
  rand::Rng,
  std::time::Duration,
};

impl Simulation {
  pub(super) fn begin(&mut self, request: usize, hop: usize) {
    let slow = hop == 2 && self.in_trouble();
    let speed = if slow { self.scenario.speed } else { 1.0 };
    let work = self.deployment.chain[hop].work / 1000.0 / speed * self.rng.random_range(0.5..1.5);
    self.requests[request].work += work;
    let done = self.now + Duration::from_secs_f64(work);
    self.requests[request].done = done;
    if hop == 2 {
      self.deepest.insert(request);
    }
    self.schedule(done, Event::Worked(request, hop));
  }

  /// The last service becomes slow, or normal again, also for the calls that it works on.
  pub(super) fn change_speed(&mut self, slow: bool) {
    let factor = if slow {
      1.0 / self.scenario.speed
    } else {
      self.scenario.speed
    };
    if (factor - 1.0).abs() < f64::EPSILON {
      // The same end again would complete each call twice.
      return;
    }
    for request in self.deepest.clone() {
      let left = self.requests[request].done - self.now;
      let left_then = left.mul_f64(factor);
      let done = self.now + left_then;
      self.requests[request].work += left_then.as_secs_f64() - left.as_secs_f64();
      self.requests[request].done = done;
      self.schedule(done, Event::Worked(request, 2));
    }
  }
}
