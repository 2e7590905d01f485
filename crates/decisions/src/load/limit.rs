use {
  super::{Completion, Rate},
  cactusyoke_model::Slots,
  std::time::{Duration, Instant},
};

/// Share of the slots at the beginning of a cold start.
const COLD_SHARE: f64 = 0.1;
/// Smallest capacity, calls per second, so that expected waits stay finite.
const MIN_CAPACITY: f64 = 0.1;
/// Smallest divisor for a rate, seconds, so that rates stay finite.
const MIN_SECONDS: f64 = 1e-6;
/// Standard deviations above which a change of the capacity counts as significant: fewer than for
/// arrivals, since completions under a limit vary less and a late reaction costs the most.
const SIGNIFICANT_DEVIATIONS: f64 = 3.0;
/// Utilisation below which the limit does not hold back the throughput, so that the throughput does
/// not show the capacity and no lower limit is tried.
const SATURATED: f64 = 0.95;
/// Ratio of latency to base latency above which a lower limit is tried, unless the throughput has
/// fallen from its peak by more than the same factor.
const INFLATED_RATIO: f64 = 2.0;
/// Factor by which a trial lowers the limit. A trial costs up to a fifth of the throughput while it
/// lasts.
const TRIAL_FACTOR: f64 = 0.8;
/// Ratio of latency during a trial to that before it up to which the lower limit is kept.
const IMPROVED_RATIO: f64 = 0.9;
/// Relative growth of the limit per measurement.
const GROWTH: f64 = 0.05;
/// Completions in one measurement. Fewer give a mean too noisy to compare.
const MEASUREMENT_COMPLETIONS: u32 = 30;
/// Shortest time between two trials; doubles after each one without effect. After one that lowered
/// the latency, the next may follow at once.
const TRIAL_PAUSE: Duration = Duration::from_secs(2);
const MAX_TRIAL_PAUSE: Duration = Duration::from_secs(32);
/// Decay of the peak throughput per measurement, so that an old peak is forgotten after about a
/// hundred.
const PEAK_DECAY: f64 = 0.99;
/// Length of each of the two windows for the shortest latency.
const MIN_LATENCY_WINDOW: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Trial {
  since: Instant,
  /// Limit before the trial.
  limit: f64,
  /// Mean latency before the trial, seconds.
  latency: f64,
}

/// Adaptive concurrency limit, and the capacity measured under it.
///
/// The slots bound the limit. When latency rises while the limit is fully used, a lower limit is
/// tried. If latency falls with it, calls were queueing inside the upstream and the lower limit
/// stays. If not, the upstream is slow for another reason, such as a slow service below it: the
/// limit returns and the new latency becomes the base.
#[derive(Debug)]
pub(super) struct Limit {
  slots: f64,
  /// Limit found by trials; equals the slots until a trial has shown that fewer suffice.
  adapted: f64,
  /// The lower of `adapted` and the cold-start ramp.
  current: f64,
  start: Instant,
  cold_start: Duration,
  /// Whether lower limits are tried.
  adaptive: bool,
  /// Sum of the time that calls were in flight since the last tick, seconds.
  busy_time: f64,
  last_observed: Instant,
  last_tick: Instant,
  /// Completions since the last tick.
  completed: u32,
  /// Completions in the current measurement, and the sum of their latencies in seconds.
  samples: u32,
  latency_sum: f64,
  /// Start of the current measurement.
  measured_since: Instant,
  /// Highest recent throughput at the base latency, completions per second.
  peak_throughput: f64,
  utilisation: f64,
  /// Completions per second for each call in flight, once measured.
  slot_rate: Option<Rate>,
  /// Mean latency taken as free of queueing inside the upstream, seconds.
  base_latency: Option<f64>,
  trial: Option<Trial>,
  last_trial: Instant,
  trial_pause: Duration,
  /// Shortest latencies in the previous and the current window.
  min_latencies: [Option<Duration>; 2],
  window_start: Instant,
}

impl Limit {
  pub(super) fn new(slots: Slots, cold_start: Duration, adaptive: bool, now: Instant) -> Self {
    let mut limit = Self {
      slots: f64::from(slots.0),
      adapted: f64::from(slots.0),
      current: 0.0,
      start: now,
      cold_start,
      adaptive,
      busy_time: 0.0,
      last_observed: now,
      last_tick: now,
      completed: 0,
      samples: 0,
      latency_sum: 0.0,
      measured_since: now,
      peak_throughput: 0.0,
      utilisation: 0.0,
      slot_rate: None,
      base_latency: None,
      trial: None,
      last_trial: now,
      trial_pause: TRIAL_PAUSE,
      min_latencies: [None; 2],
      window_start: now,
    };
    limit.current = limit.ramp_limit(now);
    limit
  }

  pub(super) fn set_slots(&mut self, slots: Slots, now: Instant) {
    let slots = f64::from(slots.0);
    // A limit equal to the old slots follows the new ones; a lower one was measured and stays.
    if self.adapted >= self.slots {
      self.adapted = slots;
    }
    self.slots = slots;
    self.adapted = self.adapted.min(slots);
    self.current = self.adapted.min(self.ramp_limit(now));
  }

  /// Concurrency limit, calls.
  pub(super) fn current(&self) -> u32 {
    self.current as u32
  }

  /// Calls per second that the upstream completes at the limit, once measured.
  pub(super) fn capacity(&self) -> Option<f64> {
    let rate = self.slot_rate.as_ref()?;
    Some((self.current.floor() * rate.value()).max(MIN_CAPACITY))
  }

  /// Calls in flight relative to the limit, over the last interval.
  pub(super) const fn utilisation(&self) -> f64 {
    self.utilisation
  }

  /// Shortest recent latency of a successful call. Zero while none is known, so that calls with
  /// short deadlines are tried again once the measurement is outdated.
  pub(super) fn min_latency(&self) -> Duration {
    let [previous, current] = self.min_latencies;
    previous
      .into_iter()
      .chain(current)
      .min()
      .unwrap_or_default()
  }

  /// Accounts for the calls in flight up to `now`; called before their number changes.
  pub(super) fn observe(&mut self, in_flight: u32, now: Instant) {
    let elapsed = now
      .saturating_duration_since(self.last_observed)
      .as_secs_f64();
    self.busy_time += elapsed * f64::from(in_flight);
    self.last_observed = self.last_observed.max(now);
  }

  pub(super) fn record_completion(
    &mut self,
    started: Instant,
    completion: Completion,
    now: Instant,
  ) {
    let latency = now.saturating_duration_since(started);
    let seconds = latency.as_secs_f64();
    let counts = match completion {
      Completion::Succeeded => {
        let [_, current] = &mut self.min_latencies;
        *current = Some(current.map_or(latency, |shortest| shortest.min(latency)));
        true
      }
      // A fast failure says nothing about capacity; a slow one held its slot.
      Completion::Failed | Completion::Cancelled => self
        .slot_rate
        .as_ref()
        .is_some_and(|rate| seconds * rate.value() > 1.0),
    };
    if !counts {
      return;
    }
    self.completed += 1;
    self.slot_rate.get_or_insert(Rate::new(
      1.0 / seconds.max(MIN_SECONDS),
      SIGNIFICANT_DEVIATIONS,
    ));
    if self.trial.is_none_or(|trial| started >= trial.since) {
      self.samples += 1;
      self.latency_sum += seconds;
    }
  }

  /// Ends an interval.
  pub(super) fn tick(&mut self, now: Instant) {
    let elapsed = now.saturating_duration_since(self.last_tick).as_secs_f64();
    if elapsed <= 0.0 {
      return;
    }
    self.last_tick = now;
    self.utilisation = self.busy_time / (elapsed * self.current.floor().max(1.0));
    if let Some(rate) = &mut self.slot_rate {
      rate.add(f64::from(self.completed), self.busy_time, elapsed);
    }
    self.busy_time = 0.0;
    self.completed = 0;
    self.rotate_min_latencies(now);
    if self.adaptive && self.samples >= MEASUREMENT_COMPLETIONS {
      self.adapt(self.latency_sum / f64::from(self.samples), now);
      self.samples = 0;
      self.latency_sum = 0.0;
      self.measured_since = now;
    }
    self.current = self.adapted.min(self.ramp_limit(now));
  }

  fn rotate_min_latencies(&mut self, now: Instant) {
    let age = now.saturating_duration_since(self.window_start);
    if age < MIN_LATENCY_WINDOW {
      return;
    }
    let [_, current] = self.min_latencies;
    self.min_latencies = [current.filter(|_| age < MIN_LATENCY_WINDOW * 2), None];
    self.window_start = now;
  }

  fn adapt(&mut self, mean_latency: f64, now: Instant) {
    let base_latency = *self.base_latency.get_or_insert(mean_latency);
    if let Some(trial) = self.trial {
      self.end_trial(trial, mean_latency, now);
      return;
    }
    let elapsed = now
      .saturating_duration_since(self.measured_since)
      .as_secs_f64();
    let throughput = f64::from(self.samples) / elapsed.max(MIN_SECONDS);
    if mean_latency > base_latency * INFLATED_RATIO
      && throughput * INFLATED_RATIO < self.peak_throughput
    {
      self.rebase(mean_latency, throughput, now);
      return;
    }
    self.base_latency = Some(base_latency.min(mean_latency));
    if mean_latency <= base_latency * INFLATED_RATIO || self.utilisation < SATURATED {
      self.peak_throughput = throughput.max(self.peak_throughput * PEAK_DECAY);
      self.adapted = (self.adapted * (1.0 + GROWTH))
        .max(self.adapted + 1.0)
        .min(self.slots);
      return;
    }
    if self.current >= 2.0 && now.saturating_duration_since(self.last_trial) >= self.trial_pause {
      self.trial = Some(Trial {
        since: now,
        limit: self.adapted,
        latency: mean_latency,
      });
      self.adapted = (self.current * TRIAL_FACTOR).max(1.0);
    }
  }

  /// Takes a latency that came with lower throughput as the new base. Calls that queue inside the
  /// upstream would have left the throughput unchanged, so that a lower limit is unlikely to help
  /// and is not tried soon.
  fn rebase(&mut self, mean_latency: f64, throughput: f64, now: Instant) {
    self.base_latency = Some(mean_latency);
    self.peak_throughput = throughput;
    self.last_trial = now;
    self.trial_pause = MAX_TRIAL_PAUSE;
  }

  fn end_trial(&mut self, trial: Trial, mean_latency: f64, now: Instant) {
    self.trial = None;
    self.last_trial = now;
    if mean_latency <= trial.latency * IMPROVED_RATIO {
      self.trial_pause = Duration::ZERO;
      return;
    }
    self.adapted = trial.limit;
    self.base_latency = Some(mean_latency);
    self.trial_pause = (self.trial_pause * 2).clamp(TRIAL_PAUSE, MAX_TRIAL_PAUSE);
  }

  fn ramp_limit(&self, now: Instant) -> f64 {
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
