use {
  cactusyoke_model::RouteName,
  std::{
    collections::HashMap,
    time::{Duration, Instant},
  },
};

/// A wait counts as silence when it is longer than this many times the longest recent wait of the
/// route.
const SILENCE_FACTOR: u32 = 8;

/// Calls of the same route that must have been answered on other connections during the wait.
/// Without them the whole upstream may be paused, rather than one connection broken.
const MIN_OTHER_ANSWERS: u64 = 3;

/// Half-life of a route's longest recent wait, which decays exponentially.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Limit of tracked routes; calls of further routes are limited by their deadlines only.
const MAX_ROUTES: usize = 1024;

#[derive(Clone, Copy, Debug)]
struct RouteWaits {
  longest: Duration,
  recorded: Instant,
  answers: u64,
}

impl RouteWaits {
  fn decayed_longest(&self, now: Instant) -> Duration {
    let half_lives =
      now.saturating_duration_since(self.recorded).as_secs_f64() / HALF_LIFE.as_secs_f64();
    self.longest.mul_f64((-half_lives).exp2())
  }
}

/// Detects connections that have been silent for much longer than others to the same upstream.
///
/// Waits are compared within a route, because some routes are slower than others by design.
#[derive(Debug)]
pub struct SilenceDetector {
  min_silence: Duration,
  routes: HashMap<RouteName, RouteWaits>,
}

impl SilenceDetector {
  /// Detector for which waits up to `min_silence` never count as silence.
  pub fn new(min_silence: Duration) -> Self {
    Self {
      min_silence,
      routes: HashMap::new(),
    }
  }

  /// Number of answers of the route so far, for [`SilenceDetector::is_silent`].
  pub fn answer_count(&self, route: &RouteName) -> u64 {
    self.routes.get(route).map_or(0, |waits| waits.answers)
  }

  /// Records a complete answer; `waited` is the longest wait for any part of it.
  pub fn record(&mut self, route: &RouteName, waited: Duration, now: Instant) {
    if let Some(waits) = self.routes.get_mut(route) {
      let longest = waits.decayed_longest(now);
      if waited >= longest {
        waits.longest = waited;
        waits.recorded = now;
      }
      waits.answers += 1;
      return;
    }
    if self.routes.len() < MAX_ROUTES {
      let waits = RouteWaits {
        longest: waited,
        recorded: now,
        answers: 1,
      };
      self.routes.insert(route.clone(), waits);
    }
  }

  /// True when a connection from which nothing has come for `waited` counts as silent; the route
  /// had `answers_before` answers when the wait began.
  pub fn is_silent(
    &self,
    route: &RouteName,
    waited: Duration,
    answers_before: u64,
    now: Instant,
  ) -> bool {
    let Some(waits) = self.routes.get(route) else {
      return false;
    };
    let limit = waits
      .decayed_longest(now)
      .saturating_mul(SILENCE_FACTOR)
      .max(self.min_silence);
    waited > limit && waits.answers >= answers_before + MIN_OTHER_ANSWERS
  }
}
