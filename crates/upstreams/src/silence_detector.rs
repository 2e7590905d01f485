use {
  cactusyoke_model::RouteName,
  std::{
    collections::HashMap,
    time::{Duration, Instant},
  },
};

/// A connection is silent when it waits this many times longer than the longest recent wait.
const FACTOR: u32 = 8;

/// Calls of the same route that must have been answered on other connections meanwhile. Without
/// them the whole upstream may be paused, and its connections are not at fault.
const OTHERS: u64 = 3;

/// The longest wait counts half after this time.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Routes that are compared; calls of further routes are bounded by their deadlines only.
const MAX_ROUTES: usize = 1024;

#[derive(Clone, Copy, Debug)]
struct RouteWaits {
  longest: Duration,
  noted: Instant,
  answers: u64,
}

impl RouteWaits {
  fn longest(&self, now: Instant) -> Duration {
    let halves = now.saturating_duration_since(self.noted).as_secs_f64() / HALF_LIFE.as_secs_f64();
    self.longest.mul_f64((-halves).exp2())
  }
}

/// Finds connections that have been silent for much longer than the others to the same upstream.
///
/// Waits are compared within a route, since some routes are slower than others by design.
#[derive(Debug)]
pub struct SilenceDetector {
  floor: Duration,
  routes: HashMap<RouteName, RouteWaits>,
}

impl SilenceDetector {
  /// Comparison in which waits up to `floor` are never a silence.
  pub fn new(floor: Duration) -> Self {
    Self {
      floor,
      routes: HashMap::new(),
    }
  }

  /// Answers of the route so far; [`SilenceDetector::is_silent`] compares with it.
  pub fn answer_count(&self, route: &RouteName) -> u64 {
    self.routes.get(route).map_or(0, |waits| waits.answers)
  }

  /// Records an answer with the longest wait for one of its parts.
  pub fn record(&mut self, route: &RouteName, waited: Duration, now: Instant) {
    if let Some(waits) = self.routes.get_mut(route) {
      let longest = waits.longest(now);
      if waited >= longest {
        waits.longest = waited;
        waits.noted = now;
      }
      waits.answers += 1;
      return;
    }
    if self.routes.len() < MAX_ROUTES {
      let waits = RouteWaits {
        longest: waited,
        noted: now,
        answers: 1,
      };
      self.routes.insert(route.clone(), waits);
    }
  }

  /// True when a connection that has waited for `waited`, since the route had `answers` answers,
  /// is silent.
  pub fn is_silent(&self, route: &RouteName, waited: Duration, answers: u64, now: Instant) -> bool {
    let Some(waits) = self.routes.get(route) else {
      return false;
    };
    let limit = waits.longest(now).saturating_mul(FACTOR).max(self.floor);
    waited > limit && waits.answers >= answers + OTHERS
  }
}
