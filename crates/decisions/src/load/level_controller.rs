use {
  super::{Queue, Rate},
  cactusyoke_model::{ClassRank, Level, Priority},
};

pub(super) const CLASSES: usize = ClassRank::MAX.0 as usize + 1;
/// Half classes in all. The two halves of a class can differ in run time.
pub(super) const HALVES: usize = CLASSES * 2;
/// Sub-levels of half a class.
const SUB_LEVELS_PER_HALF: f64 = 128.0;
/// Bits of a priority that hold its sub-level within half a class.
const SUB_LEVEL_MASK: u16 = 0x7f;
/// Ratio of the run times of the two halves of a class from which they are estimated separately.
/// Two estimates vary more than one, so that a class of similar requests is estimated as a whole.
const SPLIT_RATIO: f64 = 1.5;
/// Standard deviations above which a change of the arrivals counts as significant. At 3, random
/// variation lowered the level about once every few seconds.
const SIGNIFICANT_DEVIATIONS: f64 = 4.0;
/// Standard deviations by which the mean sub-level may contradict the highest one.
const OUTLIER_DEVIATIONS: f64 = 2.0;
/// Utilisation of the concurrency limit below which slots are free, whatever the estimates say.
const IDLE_UTILISATION: f64 = 0.8;
/// Share of the idle slots that one rise of the level may fill.
const FILL_SHARE: f64 = 0.5;
/// Time in which the queue is brought to the tolerated wait, seconds.
const DRAIN_TIME_S: f64 = 1.0;
/// Smallest share of the slots that a class is assumed to get when more important classes use them
/// up.
const MIN_CLASS_SHARE: f64 = 0.05;
/// Intervals for which the enforced level may stay above a falling reported one.
const GRACE_INTERVALS: usize = 3;
/// Sub-levels by which the enforced level may exceed the reported one.
const MAX_GRACE_SUB_LEVELS: f64 = 64.0;

/// Measurements of the gate at the end of an interval.
#[derive(Debug)]
pub(super) struct IntervalStats<'a> {
  /// Length of the interval, seconds.
  pub(super) elapsed: f64,
  /// Calls in flight relative to the concurrency limit.
  pub(super) utilisation: f64,
  /// Concurrency limit, calls.
  pub(super) slots: f64,
  /// Mean run time of a call, seconds.
  pub(super) run_time: f64,
  /// The same by half class; zero while unknown.
  pub(super) run_times: &'a [f64; HALVES],
  /// Mean wait of the nested calls that started, or of all calls if none were nested, seconds.
  pub(super) wait: f64,
  /// Tolerated mean wait of the same calls, seconds.
  pub(super) tolerated_wait: f64,
  /// Mean wait of the nested calls that started, by class, seconds.
  pub(super) nested_waits: &'a [f64; CLASSES],
  pub(super) queue: &'a Queue,
}

/// Arrivals of a class or of half a class.
#[derive(Clone, Copy, Debug)]
struct Arrivals {
  /// Arrivals in the current interval.
  count: u32,
  /// Highest sub-level since the last estimate, the number of arrivals that it was seen among, and
  /// the sum of their sub-levels.
  highest: u8,
  seen: u32,
  sub_level_sum: u32,
  /// Estimated arrivals, including those that senders shed themselves.
  rate: Rate,
}

/// Class or half class whose requests have similar run times.
#[derive(Clone, Copy, Debug)]
struct Segment {
  /// First sub-level, counted over all classes.
  start: f64,
  /// Number of sub-levels.
  sub_levels: f64,
  /// Offered calls per second.
  rate: f64,
  /// Mean run time of a call, seconds.
  run_time: f64,
}

/// Finds the admission level of a gate.
///
/// Sub-levels are hashes and therefore uniform within half a class, so that the cut-off is
/// interpolated within it. Where senders admit only part of a half, its full arrival rate is
/// estimated from the arrivals and their sub-levels. The two halves of a class can
/// differ in run time, so that demand is counted in slots.
#[derive(Debug)]
pub(super) struct LevelController {
  /// Number of sub-levels admitted, counted from the most important one; infinite when all are.
  cutoff: f64,
  /// Cut-offs of the last intervals, newest first.
  past_cutoffs: [f64; GRACE_INTERVALS],
  half_arrivals: [Arrivals; HALVES],
  /// Arrivals by class.
  class_arrivals: [Arrivals; CLASSES],
  /// Half classes up to the least important one seen.
  half_count: usize,
  /// Size of the next rise, sub-levels.
  rise: f64,
}

impl LevelController {
  pub(super) const fn new() -> Self {
    let none = Arrivals {
      count: 0,
      highest: 0,
      seen: 0,
      sub_level_sum: 0,
      rate: Rate::new(0.0, SIGNIFICANT_DEVIATIONS),
    };
    Self {
      cutoff: f64::INFINITY,
      past_cutoffs: [f64::INFINITY; GRACE_INTERVALS],
      half_arrivals: [none; HALVES],
      class_arrivals: [none; CLASSES],
      half_count: 0,
      rise: 1.0,
    }
  }

  /// Level reported to senders.
  pub(super) fn reported_level(&self) -> Level {
    Level(self.cutoff as u16)
  }

  /// Level that the gate applies to arriving calls. It follows a fall of the reported level a few
  /// intervals later, so that a small move does not shed calls already on their way, for which
  /// upstreams above have done work.
  pub(super) fn enforced_level(&self) -> Level {
    let highest = self.past_cutoffs.into_iter().fold(self.cutoff, f64::max);
    Level(highest.min(self.cutoff + MAX_GRACE_SUB_LEVELS) as u16)
  }

  /// True when the most important class is fully admitted and others are not.
  pub(super) const fn sheds_lower_classes(&self) -> bool {
    self.cutoff >= SUB_LEVELS_PER_HALF * 2.0 && self.cutoff.is_finite()
  }

  pub(super) fn record_arrival(&mut self, priority: Priority) {
    let half = priority.half_index().min(HALVES - 1);
    self.half_count = self.half_count.max(half + 1);
    self.half_arrivals[half].record((priority.0 & SUB_LEVEL_MASK) as u8);
    self.class_arrivals[half / 2].record(priority.sub_level());
  }

  /// Admits everything again, after a time without traffic.
  pub(super) fn reset(&mut self) {
    *self = Self::new();
  }

  /// Ends an interval and moves the cut-off.
  pub(super) fn update(&mut self, stats: &IntervalStats<'_>) {
    for arrivals in &mut self.half_arrivals[..self.half_count] {
      arrivals.end_interval(stats.elapsed, SUB_LEVELS_PER_HALF);
    }
    for arrivals in &mut self.class_arrivals[..self.half_count.div_ceil(2)] {
      arrivals.end_interval(stats.elapsed, SUB_LEVELS_PER_HALF * 2.0);
    }
    self.past_cutoffs.rotate_right(1);
    self.past_cutoffs[0] = self.cutoff;
    let (fitting_cutoff, wait) = self.fitting_cutoff(stats);
    let wait = wait.max(stats.wait);
    let end = SUB_LEVELS_PER_HALF * self.half_count as f64;
    if wait > stats.tolerated_wait && fitting_cutoff < self.cutoff {
      self.cutoff = fitting_cutoff;
      self.rise = 1.0;
      return;
    }
    let idle = stats.utilisation < IDLE_UTILISATION;
    let ceiling = if idle { end } else { fitting_cutoff };
    if wait > stats.tolerated_wait || ceiling <= self.cutoff {
      self.rise = 1.0;
      return;
    }
    if idle {
      self.rise = self.rise.max(self.fillable_sub_levels(stats));
    }
    self.cutoff = (self.cutoff + self.rise).min(ceiling);
    // Doubling covers four classes in ten intervals.
    self.rise *= 2.0;
    if self.cutoff >= end {
      self.cutoff = f64::INFINITY;
    }
  }

  /// Sub-levels after the cut-off, within its segment, that would use `FILL_SHARE` of the idle
  /// slots.
  fn fillable_sub_levels(&self, stats: &IntervalStats<'_>) -> f64 {
    let class = (self.cutoff / (SUB_LEVELS_PER_HALF * 2.0)) as usize;
    if class >= CLASSES {
      return 0.0;
    }
    let mean_run_time = self.mean_run_time(stats);
    let segments = self.segments(class, stats);
    let Some(segment) = segments
      .into_iter()
      .find(|segment| self.cutoff < segment.start + segment.sub_levels)
    else {
      return 0.0;
    };
    let used =
      segment.rate * stats.run_time * segment.run_time / mean_run_time / segment.sub_levels;
    let idle = stats.slots * (1.0 - stats.utilisation) * FILL_SHARE;
    (idle / used).min(segment.start + segment.sub_levels - self.cutoff)
  }

  /// The class as a whole, or its halves when they are estimated separately.
  fn segments(&self, class: usize, stats: &IntervalStats<'_>) -> Vec<Segment> {
    let halves = [class * 2, class * 2 + 1];
    let [first, second] = halves.map(|half| stats.half_run_time(half));
    if first.max(second) < first.min(second) * SPLIT_RATIO {
      return vec![Segment {
        start: SUB_LEVELS_PER_HALF * halves[0] as f64,
        sub_levels: SUB_LEVELS_PER_HALF * 2.0,
        rate: self.class_arrivals[class].rate.value() * stats.slowdown(class),
        run_time: f64::midpoint(first, second),
      }];
    }
    let segment = |half: usize| Segment {
      start: SUB_LEVELS_PER_HALF * half as f64,
      sub_levels: SUB_LEVELS_PER_HALF,
      rate: self.half_arrivals[half].rate.value() * stats.slowdown(class),
      run_time: stats.half_run_time(half),
    };
    halves.map(segment).to_vec()
  }

  /// Mean run time of all segments, weighted by offered rate, seconds.
  fn mean_run_time(&self, stats: &IntervalStats<'_>) -> f64 {
    let (mut offered, mut time) = (0.0, 0.0);
    for class in 0..self.half_count.div_ceil(2) {
      for segment in self.segments(class, stats) {
        offered += segment.rate;
        time += segment.rate * segment.run_time;
      }
    }
    if offered > 0.0 && time > 0.0 {
      time / offered
    } else {
      stats.run_time
    }
  }

  /// Cut-off up to which the offered calls fit the slots, and the longest expected wait, seconds. A
  /// class waits only for more important ones, so that a backlog of lower classes does not shed a
  /// higher one.
  fn fitting_cutoff(&self, stats: &IntervalStats<'_>) -> (f64, f64) {
    let slots = stats.slots;
    let mean_run_time = self.mean_run_time(stats);
    let mut demand = 0.0;
    let mut queued = 0;
    let mut longest_wait = 0.0_f64;
    let mut fitting_cutoff = None;
    for class in 0..self.half_count.div_ceil(2) {
      queued += stats.queue.class_len(class);
      for segment in self.segments(class, stats) {
        let left = (slots - demand).max(slots * MIN_CLASS_SHARE);
        let wait = queued as f64 * stats.run_time / left;
        if stats.queue.class_len(class) > 0 {
          longest_wait = longest_wait.max(wait);
        }
        // Negative while the wait is below the tolerated one, so that the queue fills up to it.
        let drain = ((wait - stats.tolerated_wait) / DRAIN_TIME_S).min(1.0);
        let room = left * (1.0 - drain);
        let offered = segment.rate * stats.run_time * segment.run_time / mean_run_time;
        // The most important class is shed only when its own calls wait, not on an estimate alone.
        let shed = offered > room && (class > 0 || wait > stats.tolerated_wait);
        if shed && fitting_cutoff.is_none() {
          fitting_cutoff = Some(segment.start + segment.sub_levels * room / offered);
        }
        demand += offered;
      }
    }
    (
      fitting_cutoff.unwrap_or(SUB_LEVELS_PER_HALF * self.half_count as f64),
      longest_wait,
    )
  }
}

impl IntervalStats<'_> {
  /// Factor by which waiting slows down the calls of a class. A request makes its next call when
  /// the last one has ended, so that calls arrive more rarely the longer they wait: the rate of
  /// arrivals alone never shows more than fits. The upstream is assumed to work about as long
  /// between two calls as one takes.
  fn slowdown(&self, class: usize) -> f64 {
    let cycle = 2.0 * self.run_time + self.tolerated_wait;
    let excess = self.nested_waits[class] - self.tolerated_wait;
    if excess <= 0.0 || cycle <= 0.0 {
      return 1.0;
    }
    1.0 + excess / cycle
  }

  /// Mean run time of the calls of a half class, seconds.
  fn half_run_time(&self, half: usize) -> f64 {
    match self.run_times[half] {
      0.0 => self.run_time,
      time => time,
    }
  }
}

impl Arrivals {
  fn record(&mut self, sub_level: u8) {
    self.count += 1;
    self.highest = self.highest.max(sub_level);
    self.seen += 1;
    self.sub_level_sum += u32::from(sub_level);
  }

  /// Ends an interval. The arrivals are uniform over `sub_levels`.
  fn end_interval(&mut self, elapsed: f64, sub_levels: f64) {
    let share = if self.seen == 0 {
      1.0
    } else {
      (self.range_end() / sub_levels).min(1.0)
    };
    let ended = self
      .rate
      .add(f64::from(self.count), elapsed * share, elapsed);
    self.count = 0;
    if ended {
      self.seen = 0;
      self.highest = 0;
      self.sub_level_sum = 0;
    }
  }

  /// End of the range of sub-levels that senders admit.
  fn range_end(&self) -> f64 {
    let seen = f64::from(self.seen);
    // The highest of n uniform values is expected to lie 1/(n+1) of their range below its end.
    let by_highest = (f64::from(self.highest) + 1.0) * (seen + 1.0) / seen;
    // Their mean lies half the range below it, with a standard deviation of 1/sqrt(3n) of twice the
    // mean. The highest says more, but a single call from a sender with an older level moves it.
    let by_mean = 2.0 * f64::from(self.sub_level_sum) / seen + 1.0;
    let deviation = 1.0 / (3.0 * seen).sqrt();
    if by_mean < by_highest * (1.0 - OUTLIER_DEVIATIONS * deviation) {
      by_mean
    } else {
      by_highest
    }
  }
}
