use {
  super::{CallOutcome, CallSample},
  cactusyoke_model::InstanceLoad,
  std::time::{Duration, Instant},
};

/// Half-life of a reported load, seconds.
const LOAD_HALF_LIFE_S: f64 = 0.25;
/// Half-life of the penalty for a failed call, seconds. A failed call weighs like one in flight for
/// about this long, so that an instance that fails at once does not look idle.
const PENALTY_HALF_LIFE_S: f64 = 0.5;
/// Half-life of a difference in latency, seconds, so that a recovered instance is tried again.
const LATENCY_HALF_LIFE_S: f64 = 2.0;
/// Smoothing of the relative latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Consecutive failures that eject an instance.
const EJECTION_FAILURES: u32 = 5;
/// Minimum number of calls for a failure ratio.
const MIN_RATIO_CALLS: u32 = 20;
/// Failure ratio that ejects an instance.
const EJECTION_RATIO: f64 = 0.5;
const RATIO_WINDOW: Duration = Duration::from_secs(5);
/// Duration of the first ejection; doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
const MAX_EJECTION: Duration = Duration::from_secs(32);
/// Time for which an unreachable instance gets no calls; doubles with each failed attempt.
const UNREACHABLE_TIME: Duration = Duration::from_millis(250);
const MAX_UNREACHABLE_TIME: Duration = Duration::from_secs(4);
/// Time for which an instance that reported no free slot is not expected to have one. Run times are
/// tens of milliseconds and more, so that most of its slots are still in use by the same calls.
const FULL_TIME: Duration = Duration::from_millis(50);
/// Age at which a load report is ignored, seconds, so that a full instance is tried again.
const REPORT_EXPIRY_S: f64 = 1.0;

/// Load and health of one instance, as known to a sender.
#[derive(Clone, Debug)]
pub(super) struct InstanceStats {
  in_flight: u32,
  /// Calls of other senders, as last reported.
  other_load: f64,
  reported: Instant,
  reported_load: InstanceLoad,
  /// Calls sent since the last report.
  unreported: u32,
  penalty: f64,
  penalised: Instant,
  /// Latency relative to the mean of the same routes, smoothed.
  slowness: Option<f64>,
  last_answer: Instant,
  consecutive_failures: u32,
  /// Calls and failures since `window_start`.
  calls: u32,
  failures: u32,
  window_start: Instant,
  /// Start and end of the last ejection.
  ejected: Option<(Instant, Instant)>,
  /// Recent ejections; each doubles the duration of the next one.
  ejections: u32,
  /// Time until which the instance counts as unreachable.
  unreachable_until: Option<Instant>,
  /// Consecutive attempts that did not reach the instance.
  missed_attempts: u32,
}

impl InstanceStats {
  pub(super) const fn new(now: Instant) -> Self {
    Self {
      in_flight: 0,
      other_load: 0.0,
      reported: now,
      reported_load: InstanceLoad {
        outstanding: 0,
        queued: 0,
        queued_nested: 0,
        utilisation: 0,
        free_slots: u32::MAX,
        completion_interval: Duration::ZERO,
      },
      unreported: 0,
      penalty: 0.0,
      penalised: now,
      slowness: None,
      last_answer: now,
      consecutive_failures: 0,
      calls: 0,
      failures: 0,
      window_start: now,
      ejected: None,
      ejections: 0,
      unreachable_until: None,
      missed_attempts: 0,
    }
  }

  pub(super) const fn record_sent(&mut self) {
    self.in_flight += 1;
    self.unreported += 1;
  }

  pub(super) const fn record_cancelled(&mut self) {
    self.in_flight = self.in_flight.saturating_sub(1);
  }

  /// Records the end of a call; `mean` is the mean latency of its route without waits, seconds.
  pub(super) fn record_outcome(&mut self, call: &CallSample, mean: Option<f64>, now: Instant) {
    self.in_flight = self.in_flight.saturating_sub(1);
    if let Some(load) = call.load {
      // The reported load includes the sender's own calls.
      self.other_load = f64::from(load.outstanding.saturating_sub(self.in_flight));
      self.reported = now;
      self.reported_load = load;
      self.unreported = 0;
    }
    if call.outcome == CallOutcome::Unreachable {
      self.record_unreachable(now);
      return;
    }
    self.missed_attempts = 0;
    self.unreachable_until = None;
    match call.outcome {
      CallOutcome::Unreachable => {}
      CallOutcome::Answered => self.answered(call.latency.saturating_sub(call.waited), mean, now),
      // A refusal says nothing about the upstream's health, but is as fast as a failure and must
      // not attract calls either.
      CallOutcome::NotRun => self.penalise(now),
      CallOutcome::ServerError | CallOutcome::Lost => {
        self.penalise(now);
        self.count_call(true, now);
        self.consecutive_failures += 1;
        self.eject_if_failing(now);
      }
    }
  }

  /// Start of the current ejection, if any.
  pub(super) fn ejected(&self, now: Instant) -> Option<Instant> {
    self
      .ejected
      .filter(|(_, until)| *until > now)
      .map(|(since, _)| since)
  }

  /// True while the instance counts as unreachable.
  pub(super) fn is_unreachable(&self, now: Instant) -> bool {
    self.unreachable_until.is_some_and(|until| until > now)
  }

  /// Expected wait in the queue of the instance, from the last report.
  pub(super) fn wait(&self, nested: bool, now: Instant) -> Duration {
    let age = now.saturating_duration_since(self.reported).as_secs_f64();
    if age >= REPORT_EXPIRY_S {
      return Duration::ZERO;
    }
    let waiting = if nested {
      self.reported_load.queued_nested
    } else {
      self.reported_load.queued
    };
    let ahead = (waiting + self.unreported + 1).saturating_sub(self.reported_load.free_slots);
    self.reported_load.completion_interval * ahead
  }

  /// True when all slots were in use a moment ago.
  pub(super) fn is_full(&self, now: Instant) -> bool {
    let age = now.saturating_duration_since(self.reported);
    self.reported_load.free_slots == 0 && age < FULL_TIME
  }

  /// Share of its slots in use, as last reported.
  pub(super) fn utilisation(&self, now: Instant) -> f64 {
    let age = now.saturating_duration_since(self.reported).as_secs_f64();
    if age >= REPORT_EXPIRY_S {
      return 0.0;
    }
    f64::from(self.reported_load.utilisation) / 255.0
  }

  fn record_unreachable(&mut self, now: Instant) {
    let time = UNREACHABLE_TIME * (1 << self.missed_attempts.min(5));
    self.unreachable_until = Some(now + time.min(MAX_UNREACHABLE_TIME));
    self.missed_attempts += 1;
  }

  /// End of the last ejection.
  pub(super) fn ejection_end(&self) -> Option<Instant> {
    self.ejected.map(|(_, until)| until)
  }

  /// Calls in flight: own ones, estimated ones of other senders, and penalties.
  pub(super) fn load(&self, now: Instant) -> f64 {
    f64::from(self.in_flight)
      + self.other_load * decay(self.reported, LOAD_HALF_LIFE_S, now)
      + self.penalty * decay(self.penalised, PENALTY_HALF_LIFE_S, now)
  }

  /// Latency relative to the mean of all instances; 1 when equal.
  pub(super) fn slowness(&self, now: Instant) -> f64 {
    let Some(slowness) = self.slowness else {
      return 1.0;
    };
    let excess = slowness.clamp(0.5, 4.0) - 1.0;
    1.0 + excess * decay(self.last_answer, LATENCY_HALF_LIFE_S, now)
  }

  fn answered(&mut self, latency: Duration, mean: Option<f64>, now: Instant) {
    if let Some(mean) = mean.filter(|mean| *mean > 0.0) {
      let ratio = latency.as_secs_f64() / mean;
      self.slowness = Some(
        self
          .slowness
          .map_or(ratio, |old| old + (ratio - old) * LATENCY_WEIGHT),
      );
      self.last_answer = now;
    }
    self.count_call(false, now);
    self.consecutive_failures = 0;
    // A window with this many calls and no new ejection halves the duration of the next one.
    if self.calls == MIN_RATIO_CALLS && self.ejected(now).is_none() {
      self.ejections = self.ejections.saturating_sub(1);
    }
  }

  fn penalise(&mut self, now: Instant) {
    self.penalty = self.penalty * decay(self.penalised, PENALTY_HALF_LIFE_S, now) + 1.0;
    self.penalised = now;
  }

  fn count_call(&mut self, failed: bool, now: Instant) {
    if now.saturating_duration_since(self.window_start) >= RATIO_WINDOW {
      self.calls = 0;
      self.failures = 0;
      self.window_start = now;
    }
    self.calls += 1;
    self.failures += u32::from(failed);
  }

  fn eject_if_failing(&mut self, now: Instant) {
    let ratio = f64::from(self.failures) / f64::from(self.calls.max(1));
    let failing = self.consecutive_failures >= EJECTION_FAILURES
      || (self.calls >= MIN_RATIO_CALLS && ratio >= EJECTION_RATIO);
    if !failing || self.ejected(now).is_some() {
      return;
    }
    let time = FIRST_EJECTION * (1 << self.ejections.min(5));
    self.ejected = Some((now, now + time.min(MAX_EJECTION)));
    self.ejections += 1;
    self.calls = 0;
    self.failures = 0;
    // A single failure after the return ejects again.
    self.consecutive_failures = EJECTION_FAILURES - 1;
  }
}

fn decay(since: Instant, half_life: f64, now: Instant) -> f64 {
  let age = now.saturating_duration_since(since).as_secs_f64();
  (-age / half_life).exp2()
}
