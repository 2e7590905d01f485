use {
  super::{Completion, Rate},
  cactusyoke_model::Slots,
  std::time::{Duration, Instant},
};

/// Share of the slots at the beginning of a cold start.
const COLD_SHARE: f64 = 0.1;
/// Least capacity, calls per second, so that expected waits stay finite.
const MIN_CAPACITY: f64 = 0.1;
/// Least latency that a first measurement counts as, seconds.
const MIN_LATENCY: f64 = 1e-6;
/// Standard deviations past which a change of the capacity is taken to be real: fewer than for
/// arrivals, since completions under a limit vary less and a late change costs the most.
const SIGNIFICANT: f64 = 3.0;
/// Utilisation of the limit above which throughput shows the capacity.
const SATURATED: f64 = 0.95;
/// Inflation of latency over its base at which a lower limit is tried.
const INFLATED: f64 = 2.0;
/// Factor by which the limit is lowered for a trial. A trial costs up to a fifth of the
/// throughput while it lasts.
const TRIAL_SHARE: f64 = 0.8;
/// Latency during a trial, relative to before, at which the lower limit is kept.
const IMPROVED: f64 = 0.9;
/// Growth of the limit in one measurement.
const GROWTH: f64 = 0.05;
/// Completions of one measurement. Fewer give a mean too noisy to compare.
const SAMPLES: u32 = 30;
/// Shortest time between two trials, doubled after each one without effect.
const TRIAL_PAUSE: Duration = Duration::from_secs(2);
const MAX_PAUSE: Duration = Duration::from_secs(32);
/// Part of the highest throughput that is left after a measurement, so that an old one is
/// forgotten in about a hundred.
const PEAK_DECAY: f64 = 0.99;
/// Time for which the shortest latency is remembered.
const FASTEST_WINDOW: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Trial {
  since: Instant,
  learned: f64,
  latency: f64,
}

/// Concurrency limit, and the capacity measured under it.
///
/// The slots bound the limit. When latency under full use inflates, a lower limit is tried: if
/// latency follows, the upstream was queueing inside and the lower limit stays; if not, the
/// upstream is slow for another reason (such as a slow service below it), the limit returns, and
/// the new latency becomes the base.
#[derive(Debug)]
pub(super) struct Limit {
  slots: f64,
  /// Limit found by trials; the slots until one has shown that fewer serve as well.
  learned: f64,
  /// Lower one of `learned` and the ramp after a cold start.
  current: f64,
  start: Instant,
  cold_start: Duration,
  /// Lower limits are tried.
  trials: bool,
  /// Time integral of calls in flight since the last tick, call seconds.
  area: f64,
  observed: Instant,
  ticked: Instant,
  /// Completions since the last tick.
  completed: u32,
  /// Completions and their latency since the last measurement.
  samples: u32,
  sampled: f64,
  /// Begin of the measurement.
  sampling: Instant,
  /// Highest recent throughput at the base latency, completions per second.
  peak: f64,
  utilisation: f64,
  /// Completions per second of a call in flight, once measured.
  rate: Option<Rate>,
  base: Option<f64>,
  trial: Option<Trial>,
  tried: Instant,
  pause: Duration,
  fastest: [Option<Duration>; 2],
  fastest_since: Instant,
}

impl Limit {
  pub(super) fn new(slots: Slots, cold_start: Duration, trials: bool, now: Instant) -> Self {
    let mut limit = Self {
      slots: f64::from(slots.0),
      learned: f64::from(slots.0),
      current: 0.0,
      start: now,
      cold_start,
      trials,
      area: 0.0,
      observed: now,
      ticked: now,
      completed: 0,
      samples: 0,
      sampled: 0.0,
      sampling: now,
      peak: 0.0,
      utilisation: 0.0,
      rate: None,
      base: None,
      trial: None,
      tried: now,
      pause: TRIAL_PAUSE,
      fastest: [None; 2],
      fastest_since: now,
    };
    limit.current = limit.ceiling(now);
    limit
  }

  pub(super) fn set_slots(&mut self, slots: Slots, now: Instant) {
    let slots = f64::from(slots.0);
    // A limit at the old bound follows the new one; a lower one was measured and stays.
    if self.learned >= self.slots {
      self.learned = slots;
    }
    self.slots = slots;
    self.learned = self.learned.min(slots);
    self.current = self.learned.min(self.ceiling(now));
  }

  /// Calls that may run at once.
  pub(super) fn current(&self) -> u32 {
    self.current as u32
  }

  /// Calls per second that the upstream completes at the limit, once measured.
  pub(super) fn capacity(&self) -> Option<f64> {
    let rate = self.rate.as_ref()?;
    Some((self.current.floor() * rate.value()).max(MIN_CAPACITY))
  }

  /// Calls in flight relative to the limit, over the last interval.
  pub(super) const fn utilisation(&self) -> f64 {
    self.utilisation
  }

  /// Shortest recent time from start to whole response; zero when none is known, so that calls
  /// with short deadlines are tried again once the measurement is outdated.
  pub(super) fn fastest(&self) -> Duration {
    let [previous, current] = self.fastest;
    previous
      .into_iter()
      .chain(current)
      .min()
      .unwrap_or_default()
  }

  /// Accounts for the calls in flight up to `now`, before their number changes.
  pub(super) fn observe(&mut self, in_flight: u32, now: Instant) {
    let elapsed = now.saturating_duration_since(self.observed).as_secs_f64();
    self.area += elapsed * f64::from(in_flight);
    self.observed = self.observed.max(now);
  }

  pub(super) fn completed(&mut self, started: Instant, done: Completion, now: Instant) {
    let latency = now.saturating_duration_since(started);
    let seconds = latency.as_secs_f64();
    let counts = match done {
      Completion::Succeeded => {
        let [_, current] = &mut self.fastest;
        *current = Some(current.map_or(latency, |fastest| fastest.min(latency)));
        true
      }
      // A fast failure says nothing about capacity; a slow one held its slot.
      Completion::Failed | Completion::Cancelled => self
        .rate
        .as_ref()
        .is_some_and(|rate| seconds * rate.value() > 1.0),
    };
    if !counts {
      return;
    }
    self.completed += 1;
    self
      .rate
      .get_or_insert(Rate::new(1.0 / seconds.max(MIN_LATENCY), SIGNIFICANT));
    if self.trial.is_none_or(|trial| started >= trial.since) {
      self.samples += 1;
      self.sampled += seconds;
    }
  }

  /// Ends an interval of measurement.
  pub(super) fn tick(&mut self, now: Instant) {
    let elapsed = now.saturating_duration_since(self.ticked).as_secs_f64();
    if elapsed <= 0.0 {
      return;
    }
    self.ticked = now;
    self.utilisation = self.area / (elapsed * self.current.floor().max(1.0));
    if let Some(rate) = &mut self.rate {
      rate.add(f64::from(self.completed), self.area, elapsed);
    }
    self.area = 0.0;
    self.completed = 0;
    self.rotate_fastest(now);
    if self.trials && self.samples >= SAMPLES {
      self.adapt(self.sampled / f64::from(self.samples), now);
      self.samples = 0;
      self.sampled = 0.0;
      self.sampling = now;
    }
    self.current = self.learned.min(self.ceiling(now));
  }

  fn rotate_fastest(&mut self, now: Instant) {
    let age = now.saturating_duration_since(self.fastest_since);
    if age < FASTEST_WINDOW {
      return;
    }
    let [_, current] = self.fastest;
    self.fastest = [current.filter(|_| age < FASTEST_WINDOW * 2), None];
    self.fastest_since = now;
  }

  fn adapt(&mut self, mean: f64, now: Instant) {
    let base = *self.base.get_or_insert(mean);
    if let Some(trial) = self.trial {
      self.end_trial(trial, mean, now);
      return;
    }
    let sampling = now.saturating_duration_since(self.sampling).as_secs_f64();
    let throughput = f64::from(self.samples) / sampling.max(MIN_LATENCY);
    if mean > base * INFLATED && throughput * INFLATED < self.peak {
      self.slowed(mean, throughput, now);
      return;
    }
    self.base = Some(base.min(mean));
    if mean <= base * INFLATED || self.utilisation < SATURATED {
      self.peak = throughput.max(self.peak * PEAK_DECAY);
      self.learned = (self.learned * (1.0 + GROWTH))
        .max(self.learned + 1.0)
        .min(self.slots);
      return;
    }
    if self.current >= 2.0 && now.saturating_duration_since(self.tried) >= self.pause {
      self.trial = Some(Trial {
        since: now,
        learned: self.learned,
        latency: mean,
      });
      self.learned = (self.current * TRIAL_SHARE).max(1.0);
    }
  }

  /// Takes a latency that came with less throughput as the new base. Calls that queue inside the
  /// upstream would leave the throughput as it was, so a lower limit is not likely to help and is
  /// not tried soon.
  fn slowed(&mut self, mean: f64, throughput: f64, now: Instant) {
    self.base = Some(mean);
    self.peak = throughput;
    self.tried = now;
    self.pause = MAX_PAUSE;
  }

  fn end_trial(&mut self, trial: Trial, mean: f64, now: Instant) {
    self.trial = None;
    self.tried = now;
    if mean <= trial.latency * IMPROVED {
      self.pause = Duration::ZERO;
      return;
    }
    self.learned = trial.learned;
    self.base = Some(mean);
    self.pause = (self.pause * 2).clamp(TRIAL_PAUSE, MAX_PAUSE);
  }

  fn ceiling(&self, now: Instant) -> f64 {
    let age = now.saturating_duration_since(self.start);
    if age >= self.cold_start {
      return self.slots;
    }
    let share = age.as_secs_f64() / self.cold_start.as_secs_f64();
    (self.slots * share.max(COLD_SHARE))
      .max(1.0)
      .min(self.slots)
  }
}
