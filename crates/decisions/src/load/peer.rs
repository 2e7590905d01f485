use {
  super::{CallOutcome, CallSample},
  cactusyoke_model::Outlook,
  std::time::{Duration, Instant},
};

/// Time in which half of a reported load fades.
const LOAD_HALF_LIFE: f64 = 0.25;
/// Time in which half of a failure's weight fades. A failed call weighs like one in flight for
/// about this long, so that an instance that fails at once does not look idle.
const PENALTY_HALF_LIFE: f64 = 0.5;
/// Time in which half of a latency difference fades, so that a recovered instance is tried again.
const LATENCY_HALF_LIFE: f64 = 2.0;
/// Smoothing of latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Failures in a row that eject.
const MAX_CONSECUTIVE: u32 = 5;
/// Calls that a failure ratio is taken from, at least.
const MIN_CALLS: u32 = 20;
/// Failure ratio that ejects.
const MAX_RATIO: f64 = 0.5;
const RATIO_WINDOW: Duration = Duration::from_secs(5);
/// First ejection; doubles with each further one.
const EJECTION: Duration = Duration::from_secs(1);
const MAX_EJECTION: Duration = Duration::from_secs(32);
/// Time for which an instance that cannot be reached is left alone; doubles with each attempt.
const AWAY: Duration = Duration::from_millis(250);
const MAX_AWAY: Duration = Duration::from_secs(4);
/// Age at which a report says nothing any more, so that a full instance is tried again.
const REPORT_EXPIRY: f64 = 1.0;

/// What a sender knows of one instance.
#[derive(Clone, Debug)]
pub(super) struct Peer {
  in_flight: u32,
  /// Calls of other senders, as last reported.
  others: f64,
  reported: Instant,
  outlook: Outlook,
  /// Calls sent since the last report.
  unreported: u32,
  penalty: f64,
  penalised: Instant,
  /// Latency relative to the mean of the same routes, smoothed.
  slowness: Option<f64>,
  timed: Instant,
  consecutive: u32,
  calls: u32,
  failures: u32,
  counted: Instant,
  ejected: Option<(Instant, Instant)>,
  ejections: u32,
  /// End of the time for which it counts as out of reach.
  away: Option<Instant>,
  /// Attempts in a row that did not reach it.
  missed: u32,
}

impl Peer {
  pub(super) const fn new(now: Instant) -> Self {
    Self {
      in_flight: 0,
      others: 0.0,
      reported: now,
      outlook: Outlook {
        load: 0,
        queued: 0,
        urgent: 0,
        used: 0,
        room: u32::MAX,
        pace: Duration::ZERO,
      },
      unreported: 0,
      penalty: 0.0,
      penalised: now,
      slowness: None,
      timed: now,
      consecutive: 0,
      calls: 0,
      failures: 0,
      counted: now,
      ejected: None,
      ejections: 0,
      away: None,
      missed: 0,
    }
  }

  pub(super) const fn sent(&mut self) {
    self.in_flight += 1;
    self.unreported += 1;
  }

  pub(super) const fn cancelled(&mut self) {
    self.in_flight = self.in_flight.saturating_sub(1);
  }

  /// Records the end of a call; `mean` is the mean time of its route, seconds.
  pub(super) fn done(&mut self, done: &CallSample, mean: Option<f64>, now: Instant) {
    self.in_flight = self.in_flight.saturating_sub(1);
    if let Some(outlook) = done.outlook {
      // The report counts the sender's own calls, too.
      self.others = f64::from(outlook.load.saturating_sub(self.in_flight));
      self.reported = now;
      self.outlook = outlook;
      self.unreported = 0;
    }
    if done.outcome == CallOutcome::Unreachable {
      self.missed(now);
      return;
    }
    self.missed = 0;
    self.away = None;
    match done.outcome {
      CallOutcome::Unreachable => {}
      CallOutcome::Answered => self.answered(done.latency.saturating_sub(done.waited), mean, now),
      // A refusal says nothing about the upstream's health, but is as fast as a failure.
      CallOutcome::NotRun => self.penalise(now),
      CallOutcome::ServerError | CallOutcome::Lost => {
        self.penalise(now);
        self.count(true, now);
        self.consecutive += 1;
        self.eject_if_failing(now);
      }
    }
  }

  /// Since when the instance is ejected.
  pub(super) fn ejected(&self, now: Instant) -> Option<Instant> {
    self
      .ejected
      .filter(|(_, until)| *until > now)
      .map(|(since, _)| since)
  }

  /// True while it counts as out of reach.
  pub(super) fn is_away(&self, now: Instant) -> bool {
    self.away.is_some_and(|until| until > now)
  }

  /// Wait in its queue that a call has to expect, as last reported.
  pub(super) fn wait(&self, inner: bool, now: Instant) -> Duration {
    let age = now.saturating_duration_since(self.reported).as_secs_f64();
    if age >= REPORT_EXPIRY {
      return Duration::ZERO;
    }
    let waiting = if inner {
      self.outlook.urgent
    } else {
      self.outlook.queued
    };
    let ahead = (waiting + self.unreported + 1).saturating_sub(self.outlook.room);
    self.outlook.pace * ahead
  }

  /// Part of its slots in use, as last reported.
  pub(super) fn used(&self, now: Instant) -> f64 {
    let age = now.saturating_duration_since(self.reported).as_secs_f64();
    if age >= REPORT_EXPIRY {
      return 0.0;
    }
    f64::from(self.outlook.used) / 255.0
  }

  fn missed(&mut self, now: Instant) {
    let time = AWAY * (1 << self.missed.min(5));
    self.away = Some(now + time.min(MAX_AWAY));
    self.missed += 1;
  }

  /// End of the last ejection.
  pub(super) fn returned(&self) -> Option<Instant> {
    self.ejected.map(|(_, until)| until)
  }

  /// Calls in flight, own and estimated.
  pub(super) fn load(&self, now: Instant) -> f64 {
    f64::from(self.in_flight)
      + self.others * fading(self.reported, LOAD_HALF_LIFE, now)
      + self.penalty * fading(self.penalised, PENALTY_HALF_LIFE, now)
  }

  /// Latency relative to the other instances of the service.
  pub(super) fn slowness(&self, now: Instant) -> f64 {
    let Some(slowness) = self.slowness else {
      return 1.0;
    };
    let excess = slowness.clamp(0.5, 4.0) - 1.0;
    1.0 + excess * fading(self.timed, LATENCY_HALF_LIFE, now)
  }

  fn answered(&mut self, latency: Duration, mean: Option<f64>, now: Instant) {
    if let Some(mean) = mean.filter(|mean| *mean > 0.0) {
      let ratio = latency.as_secs_f64() / mean;
      self.slowness = Some(
        self
          .slowness
          .map_or(ratio, |old| old + (ratio - old) * LATENCY_WEIGHT),
      );
      self.timed = now;
    }
    self.count(false, now);
    self.consecutive = 0;
    // A window without a new ejection halves the next one.
    if self.calls == MIN_CALLS && self.ejected(now).is_none() {
      self.ejections = self.ejections.saturating_sub(1);
    }
  }

  fn penalise(&mut self, now: Instant) {
    self.penalty = self.penalty * fading(self.penalised, PENALTY_HALF_LIFE, now) + 1.0;
    self.penalised = now;
  }

  fn count(&mut self, failed: bool, now: Instant) {
    if now.saturating_duration_since(self.counted) >= RATIO_WINDOW {
      self.calls = 0;
      self.failures = 0;
      self.counted = now;
    }
    self.calls += 1;
    self.failures += u32::from(failed);
  }

  fn eject_if_failing(&mut self, now: Instant) {
    let ratio = f64::from(self.failures) / f64::from(self.calls.max(1));
    let failing =
      self.consecutive >= MAX_CONSECUTIVE || (self.calls >= MIN_CALLS && ratio >= MAX_RATIO);
    if !failing || self.ejected(now).is_some() {
      return;
    }
    let time = EJECTION * (1 << self.ejections.min(5));
    self.ejected = Some((now, now + time.min(MAX_EJECTION)));
    self.ejections += 1;
    self.calls = 0;
    self.failures = 0;
    // One more failure after the return ejects again.
    self.consecutive = MAX_CONSECUTIVE - 1;
  }
}

fn fading(since: Instant, half_life: f64, now: Instant) -> f64 {
  let age = now.saturating_duration_since(since).as_secs_f64();
  (-age / half_life).exp2()
}
