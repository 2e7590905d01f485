use {
  super::Table,
  cactusyoke_model::{Level, Priority, RouteName},
  std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
  },
};

/// A report holds for one to two windows. Shorter windows let a lax instance hide a strict one
/// between two reports; longer ones delay recovery.
const WINDOW: Duration = Duration::from_millis(50);
/// Silence after which a level begins to rise.
const HOLD: Duration = Duration::from_millis(500);
/// Silence after which everything is admitted.
const EXPIRY: Duration = Duration::from_secs(1);
/// While no report arrives, one shed call is let through in each such interval.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// First value above every class rank.
const TOP: f64 = 0x2000 as f64;
/// Bound on routes, above the number of routes of any preset in use.
const MAX_ROUTES: usize = 4096;

#[derive(Debug)]
struct Reported {
  /// Strictest level of the window that began at `since`.
  current: Level,
  /// Strictest level of the window before.
  previous: Level,
  since: Instant,
  /// When the last report was measured.
  measured: Instant,
  /// Last probe, microseconds after the start of `Levels`.
  probed: AtomicU64,
}

/// Strictest admission levels below each route, as its sender last heard.
#[derive(Debug)]
pub struct Levels {
  start: Instant,
  routes: Table<RouteName, Reported>,
}

impl Levels {
  /// Admits everything until the first report.
  pub fn new(now: Instant) -> Self {
    Self {
      start: now,
      routes: Table::default(),
    }
  }

  /// Takes the level of a report that was measured `age` ago.
  pub fn observe(&mut self, route: &RouteName, level: Level, age: Duration, now: Instant) {
    if age >= EXPIRY {
      return;
    }
    let measured = now.checked_sub(age).unwrap_or(now);
    let Some(reported) = self.routes.get_mut(route) else {
      if level == Level::ALL || self.routes.len() >= MAX_ROUTES {
        return;
      }
      self.routes.insert(
        route.clone(),
        Reported {
          current: level,
          previous: Level::ALL,
          since: now,
          measured,
          probed: AtomicU64::new(0),
        },
      );
      return;
    };
    let elapsed = now.saturating_duration_since(reported.since);
    if elapsed >= WINDOW {
      reported.previous = if elapsed < WINDOW * 2 {
        reported.current
      } else {
        Level::ALL
      };
      reported.current = Level::ALL;
      reported.since = now;
    }
    reported.current = reported.current.min(level);
    reported.measured = reported.measured.max(measured);
  }

  /// Level in force for a route.
  pub fn level(&self, route: &RouteName, now: Instant) -> Level {
    self
      .routes
      .get(route)
      .map_or(Level::ALL, |reported| reported.level(now))
  }

  /// True when a call of this priority is to be sent.
  pub fn admits(&self, route: &RouteName, priority: Priority, now: Instant) -> bool {
    let Some(reported) = self.routes.get(route) else {
      return true;
    };
    reported.level(now).admits(priority) || self.probes(reported, now)
  }

  /// Claims the probe of this interval when no report arrives otherwise.
  fn probes(&self, reported: &Reported, now: Instant) -> bool {
    if now.saturating_duration_since(reported.measured) < PROBE_INTERVAL {
      return false;
    }
    let micros = now.saturating_duration_since(self.start).as_micros() as u64;
    let last = reported.probed.load(Ordering::Relaxed);
    micros.saturating_sub(last) >= PROBE_INTERVAL.as_micros() as u64
      && reported
        .probed
        .compare_exchange(last, micros, Ordering::Relaxed, Ordering::Relaxed)
        .is_ok()
  }
}

impl Reported {
  fn level(&self, now: Instant) -> Level {
    let level = self.current.min(self.previous);
    let age = now.saturating_duration_since(self.measured);
    if age >= EXPIRY || level.0 >= TOP as u16 {
      return if age >= EXPIRY { Level::ALL } else { level };
    }
    if age <= HOLD {
      return level;
    }
    let x = age
      .saturating_sub(HOLD)
      .div_duration_f64(EXPIRY.saturating_sub(HOLD));
    // The cube raises the level by a few sub-levels at first, so that a short silence during
    // overload does not admit a whole class.
    let raised = f64::from(level.0) + (TOP - f64::from(level.0)) * x.powi(3);
    Level(raised as u16)
  }
}
