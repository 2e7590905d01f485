use {
  super::DeterministicMap,
  cactusyoke_model::{Level, Priority, RouteName},
  std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
  },
};

/// Window over which the strictest report counts. A report is in force for one to two windows. With
/// shorter ones, a lightly loaded instance would hide an overloaded one between two reports of the
/// latter; longer ones delay recovery.
const REPORT_WINDOW: Duration = Duration::from_millis(50);
/// Time without reports after which a level begins to rise.
const HOLD_TIME: Duration = Duration::from_millis(500);
/// Time without reports after which everything is admitted.
const REPORT_EXPIRY: Duration = Duration::from_secs(1);
/// While no reports arrive, one call that would be shed is sent in each such interval.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Lowest level that admits all classes.
const FULL_LEVEL: f64 = 0x2000 as f64;
/// Maximum number of routes, above that of any preset in use.
const MAX_ROUTES: usize = 4096;

#[derive(Debug)]
struct RouteLevel {
  /// Strictest level of the window that began at `window_start`.
  current: Level,
  /// Strictest level of the previous window.
  previous: Level,
  window_start: Instant,
  /// When the newest report was measured.
  measured: Instant,
  /// Time of the last probe, microseconds since `Levels::start`.
  last_probe: AtomicU64,
}

/// Strictest admission level recently reported for each route, as kept by its sender.
#[derive(Debug)]
pub struct Levels {
  start: Instant,
  routes: DeterministicMap<RouteName, RouteLevel>,
}

impl Levels {
  /// Levels that admit everything until the first report.
  pub fn new(now: Instant) -> Self {
    Self {
      start: now,
      routes: DeterministicMap::default(),
    }
  }

  /// Takes the level of a report that was measured `age` ago.
  pub fn observe(&mut self, route: &RouteName, level: Level, age: Duration, now: Instant) {
    if age >= REPORT_EXPIRY {
      return;
    }
    let measured = now.checked_sub(age).unwrap_or(now);
    let Some(route_level) = self.routes.get_mut(route) else {
      if level == Level::ALL || self.routes.len() >= MAX_ROUTES {
        return;
      }
      self.routes.insert(
        route.clone(),
        RouteLevel {
          current: level,
          previous: Level::ALL,
          window_start: now,
          measured,
          last_probe: AtomicU64::new(0),
        },
      );
      return;
    };
    let elapsed = now.saturating_duration_since(route_level.window_start);
    if elapsed >= REPORT_WINDOW {
      route_level.previous = if elapsed < REPORT_WINDOW * 2 {
        route_level.current
      } else {
        Level::ALL
      };
      route_level.current = Level::ALL;
      route_level.window_start = now;
    }
    route_level.current = route_level.current.min(level);
    route_level.measured = route_level.measured.max(measured);
  }

  /// Level in force for a route.
  pub fn level(&self, route: &RouteName, now: Instant) -> Level {
    self
      .routes
      .get(route)
      .map_or(Level::ALL, |route_level| route_level.level(now))
  }

  /// True when a call of this priority may be sent. May use up the probe of the current interval.
  pub fn admits(&self, route: &RouteName, priority: Priority, now: Instant) -> bool {
    let Some(route_level) = self.routes.get(route) else {
      return true;
    };
    route_level.level(now).admits(priority) || self.claim_probe(route_level, now)
  }

  /// Claims the probe of the current interval; only while no reports arrive.
  fn claim_probe(&self, route_level: &RouteLevel, now: Instant) -> bool {
    if now.saturating_duration_since(route_level.measured) < PROBE_INTERVAL {
      return false;
    }
    let micros = now.saturating_duration_since(self.start).as_micros() as u64;
    let last = route_level.last_probe.load(Ordering::Relaxed);
    micros.saturating_sub(last) >= PROBE_INTERVAL.as_micros() as u64
      && route_level
        .last_probe
        .compare_exchange(last, micros, Ordering::Relaxed, Ordering::Relaxed)
        .is_ok()
  }
}

impl RouteLevel {
  fn level(&self, now: Instant) -> Level {
    let level = self.current.min(self.previous);
    let age = now.saturating_duration_since(self.measured);
    if age >= REPORT_EXPIRY || level.0 >= FULL_LEVEL as u16 {
      return if age >= REPORT_EXPIRY {
        Level::ALL
      } else {
        level
      };
    }
    if age <= HOLD_TIME {
      return level;
    }
    let progress = age
      .saturating_sub(HOLD_TIME)
      .div_duration_f64(REPORT_EXPIRY.saturating_sub(HOLD_TIME));
    // The cube raises the level slowly at first, by a few sub-levels, so that a short gap in the
    // reports during an overload does not admit a whole class.
    let raised = f64::from(level.0) + (FULL_LEVEL - f64::from(level.0)) * progress.powi(3);
    Level(raised as u16)
  }
}
