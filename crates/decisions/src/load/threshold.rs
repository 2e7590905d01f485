use {
  super::{Queue, Rate},
  cactusyoke_model::{ClassRank, Level, Priority},
};

const CLASSES: usize = ClassRank::MAX.0 as usize + 1;
/// Half classes.
pub(super) const HALVES: usize = CLASSES * 2;
/// Sub-levels of half a class.
const STEPS: f64 = 128.0;
/// Mask of the sub-levels of half a class.
const SUB_LEVELS: u16 = 0x7f;
/// Ratio of the times of two halves from which they are estimated apart. Two estimates vary more
/// than one, so that a class whose requests are alike is estimated as a whole.
const UNLIKE: f64 = 1.5;
/// Standard deviations past which a change of the arrivals is taken to be real. At 3, about one
/// chance change in each few seconds lowered the level.
const SIGNIFICANT: f64 = 4.0;
/// Use of the limit below which there is room whatever the estimates say.
const IDLE: f64 = 0.8;
/// Share of the idle slots that a rise of the level may fill at once.
const RISE: f64 = 0.5;
/// Time in which the queue is brought to the tolerated wait, seconds.
const DRAIN_TIME: f64 = 1.0;
/// Least share of the capacity that a class is taken to have when higher ones use it up.
const MIN_LEFT: f64 = 0.05;
/// Intervals by which the enforced level follows the reported one.
const GRACE: usize = 3;
/// Sub-levels that it may be above it.
const MAX_GRACE: f64 = 64.0;

/// State of the gate at the end of an interval.
#[derive(Debug)]
pub(super) struct Pressure<'a> {
  /// Length of the interval, seconds.
  pub(super) elapsed: f64,
  /// Calls in flight relative to the limit.
  pub(super) utilisation: f64,
  /// Calls that may run at once.
  pub(super) slots: f64,
  /// Mean time that a call runs, seconds.
  pub(super) mean: f64,
  /// The same by half class; zero while it is not known.
  pub(super) times: &'a [f64; HALVES],
  /// Mean wait of the calls that started, seconds.
  pub(super) wait: f64,
  /// Wait that is tolerated, seconds.
  pub(super) target: f64,
  pub(super) queue: &'a Queue,
}

/// Arrivals of a class or of half of it.
#[derive(Clone, Copy, Debug)]
struct Arrivals {
  /// Arrivals of the interval.
  count: u32,
  /// Highest sub-level since the last estimate, and the arrivals it is taken from.
  highest: u8,
  seen: u32,
  /// Estimated arrivals, including those that senders keep away.
  offered: Rate,
}

/// Part of a class whose requests are alike.
#[derive(Clone, Copy, Debug)]
struct Part {
  /// First sub-level, counted over all classes.
  start: f64,
  /// Sub-levels.
  steps: f64,
  /// Offered calls per second.
  rate: f64,
  /// Time that a call runs, seconds.
  time: f64,
}

/// Admission level of a gate.
///
/// Sub-levels are hashes and so uniform within half a class. The threshold is therefore found by
/// interpolation inside it, and the rate of a half that senders admit in part follows from the
/// arrivals and the highest sub-level among them. Halves differ in the time that their calls run,
/// so that what they take is counted in slots.
#[derive(Debug)]
pub(super) struct Threshold {
  /// Sub-levels admitted, counted from the most important; infinite to admit everything.
  position: f64,
  /// Earlier positions, newest first.
  history: [f64; GRACE],
  arrivals: [Arrivals; HALVES],
  /// Arrivals of whole classes.
  whole: [Arrivals; CLASSES],
  /// Half classes seen.
  halves: usize,
  /// Next rise, sub-levels.
  step: f64,
}

impl Threshold {
  pub(super) const fn new() -> Self {
    let none = Arrivals {
      count: 0,
      highest: 0,
      seen: 0,
      offered: Rate::new(0.0, SIGNIFICANT),
    };
    Self {
      position: f64::INFINITY,
      history: [f64::INFINITY; GRACE],
      arrivals: [none; HALVES],
      whole: [none; CLASSES],
      halves: 0,
      step: 1.0,
    }
  }

  /// Level that senders are told.
  pub(super) fn level(&self) -> Level {
    Level(self.position as u16)
  }

  /// Level that arriving calls are held to. It follows the reported level after a few intervals,
  /// so that calls on their way, which have used upstream time above, are not shed by a small move.
  pub(super) fn enforced(&self) -> Level {
    let highest = self.history.into_iter().fold(self.position, f64::max);
    Level(highest.min(self.position + MAX_GRACE) as u16)
  }

  /// True when the most important class is admitted whole and others are not.
  pub(super) const fn sheds_lower_classes(&self) -> bool {
    self.position >= STEPS * 2.0 && self.position.is_finite()
  }

  pub(super) fn arrived(&mut self, priority: Priority) {
    let half = priority.half_index().min(HALVES - 1);
    self.halves = self.halves.max(half + 1);
    self.arrivals[half].arrived((priority.0 & SUB_LEVELS) as u8);
    self.whole[half / 2].arrived(priority.0 as u8);
  }

  /// Admits everything, after a time without traffic.
  pub(super) fn reset(&mut self) {
    *self = Self::new();
  }

  pub(super) fn tick(&mut self, pressure: &Pressure<'_>) {
    for arrivals in &mut self.arrivals[..self.halves] {
      arrivals.estimate(pressure.elapsed, STEPS);
    }
    for arrivals in &mut self.whole[..self.halves.div_ceil(2)] {
      arrivals.estimate(pressure.elapsed, STEPS * 2.0);
    }
    self.history.rotate_right(1);
    self.history[0] = self.position;
    let (goal, wait) = self.goal(pressure);
    let wait = wait.max(pressure.wait);
    let end = STEPS * self.halves as f64;
    if wait > pressure.target && goal < self.position {
      self.position = goal;
      self.step = 1.0;
      return;
    }
    let idle = pressure.utilisation < IDLE;
    let ceiling = if idle { end } else { goal };
    if wait > pressure.target || ceiling <= self.position {
      self.step = 1.0;
      return;
    }
    if idle {
      self.step = self.step.max(self.room(pressure));
    }
    self.position = (self.position + self.step).min(ceiling);
    // Doubling reaches the end of four classes in ten intervals.
    self.step *= 2.0;
    if self.position >= end {
      self.position = f64::INFINITY;
    }
  }

  /// Sub-levels of the part at the position that would use `RISE` of the idle slots.
  fn room(&self, pressure: &Pressure<'_>) -> f64 {
    let class = (self.position / (STEPS * 2.0)) as usize;
    if class >= CLASSES {
      return 0.0;
    }
    let usual = self.usual_time(pressure);
    let parts = self.parts(class, pressure);
    let Some(part) = parts
      .into_iter()
      .find(|part| self.position < part.start + part.steps)
    else {
      return 0.0;
    };
    let used = part.rate * pressure.mean * part.time / usual / part.steps;
    let idle = pressure.slots * (1.0 - pressure.utilisation) * RISE;
    (idle / used).min(part.start + part.steps - self.position)
  }

  /// Parts of a class that are estimated apart.
  fn parts(&self, class: usize, pressure: &Pressure<'_>) -> Vec<Part> {
    let halves = [class * 2, class * 2 + 1];
    let [first, second] = halves.map(|half| pressure.time(half));
    if first.max(second) < first.min(second) * UNLIKE {
      return vec![Part {
        start: STEPS * halves[0] as f64,
        steps: STEPS * 2.0,
        rate: self.whole[class].offered.value(),
        time: f64::midpoint(first, second),
      }];
    }
    let part = |half: usize| Part {
      start: STEPS * half as f64,
      steps: STEPS,
      rate: self.arrivals[half].offered.value(),
      time: pressure.time(half),
    };
    halves.map(part).to_vec()
  }

  /// Mean of the times of all halves by what they offer, seconds.
  fn usual_time(&self, pressure: &Pressure<'_>) -> f64 {
    let (mut offered, mut time) = (0.0, 0.0);
    for class in 0..self.halves.div_ceil(2) {
      for part in self.parts(class, pressure) {
        offered += part.rate;
        time += part.rate * part.time;
      }
    }
    if offered > 0.0 && time > 0.0 {
      time / offered
    } else {
      pressure.mean
    }
  }

  /// Position up to which arrivals fit the capacity, and the longest expected wait, seconds. A
  /// class waits for the higher ones only, so that a backlog of low classes does not shed a high
  /// one.
  fn goal(&self, pressure: &Pressure<'_>) -> (f64, f64) {
    let slots = pressure.slots;
    let usual = self.usual_time(pressure);
    let mut admitted = 0.0;
    let mut waiting = 0;
    let mut longest = 0.0_f64;
    let mut goal = None;
    for class in 0..self.halves.div_ceil(2) {
      waiting += pressure.queue.class_len(class);
      for part in self.parts(class, pressure) {
        let left = (slots - admitted).max(slots * MIN_LEFT);
        let wait = waiting as f64 * pressure.mean / left;
        if pressure.queue.class_len(class) > 0 {
          longest = longest.max(wait);
        }
        // A queue below the tolerated wait is filled up to it.
        let drain = ((wait - pressure.target) / DRAIN_TIME).min(1.0);
        let room = left * (1.0 - drain);
        let offered = part.rate * pressure.mean * part.time / usual;
        // The most important class is shed only when it waits itself, not on an estimate alone.
        let shed = offered > room && (class > 0 || wait > pressure.target);
        if shed && goal.is_none() {
          goal = Some(part.start + part.steps * room / offered);
        }
        admitted += offered;
      }
    }
    (goal.unwrap_or(STEPS * self.halves as f64), longest)
  }
}

impl Pressure<'_> {
  /// Time that the calls of a half class run, seconds.
  fn time(&self, half: usize) -> f64 {
    match self.times[half] {
      0.0 => self.mean,
      time => time,
    }
  }
}

impl Arrivals {
  fn arrived(&mut self, sub_level: u8) {
    self.count += 1;
    self.highest = self.highest.max(sub_level);
  }

  /// Ends an interval; the arrivals are uniform over so many sub-levels.
  fn estimate(&mut self, elapsed: f64, steps: f64) {
    self.seen += self.count;
    let seen = f64::from(self.seen);
    // The highest of some uniform values lies below the edge of their range by one part.
    let edge = (f64::from(self.highest) + 1.0) * (seen + 1.0) / seen.max(1.0);
    let share = if self.seen == 0 {
      1.0
    } else {
      (edge / steps).min(1.0)
    };
    let ended = self
      .offered
      .add(f64::from(self.count), elapsed * share, elapsed);
    self.count = 0;
    if ended {
      self.seen = 0;
      self.highest = 0;
    }
  }
}
