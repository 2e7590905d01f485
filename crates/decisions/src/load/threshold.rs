use {
  super::Queue,
  cactusyoke_model::{ClassRank, Level, Priority},
};

const CLASSES: usize = ClassRank::MAX.0 as usize + 1;
/// Sub-levels of a class.
const STEPS: f64 = 256.0;
/// Share of a class that has to be admitted for its arrivals to be extrapolated to the whole.
const MEASURABLE: f64 = 1.0 / 16.0;
/// Fading, per interval, of what is known of a class that other nodes keep away.
const FADING: f64 = 0.8;
/// Completions over which arrivals are averaged. Fewer let chance move the level.
const SAMPLES: f64 = 30.0;
/// Time in which an excess of waiting calls is to be worked off, seconds.
const DRAIN_TIME: f64 = 0.5;
/// Largest share of the capacity spent on working off waiting calls.
const MAX_DRAIN: f64 = 0.9;

/// State of the gate at the end of an interval.
#[derive(Debug)]
pub(super) struct Pressure<'a> {
  /// Length of the interval, seconds.
  pub(super) elapsed: f64,
  /// Calls per second.
  pub(super) capacity: f64,
  /// Mean wait of the calls that started, seconds.
  pub(super) wait: f64,
  /// Wait that is tolerated, seconds.
  pub(super) target: f64,
  pub(super) queue: &'a Queue,
}

/// Admission level of a gate.
///
/// Arrivals are counted by class. Sub-levels are hashes and so uniform within a class, which
/// locates the threshold inside a class by interpolation, and extends the arrivals of a class that
/// senders admit in part to the whole class.
#[derive(Debug)]
pub(super) struct Threshold {
  /// Sub-levels admitted, counted from the most important; `None` admits everything.
  position: Option<f64>,
  /// Position one interval ago.
  previous: Option<f64>,
  /// Arrivals of the interval by class.
  arrived: [u32; CLASSES],
  /// Those of them below the position.
  below: [u32; CLASSES],
  /// Estimated arrivals per second by class, including those kept away by senders.
  offered: [f64; CLASSES],
  /// Classes seen.
  classes: usize,
  /// Next rise into a class of unknown arrivals, sub-levels.
  step: f64,
}

impl Threshold {
  pub(super) const fn new() -> Self {
    Self {
      position: None,
      previous: None,
      arrived: [0; CLASSES],
      below: [0; CLASSES],
      offered: [0.0; CLASSES],
      classes: 0,
      step: 1.0,
    }
  }

  /// Level that senders are told.
  pub(super) fn level(&self) -> Level {
    self.position.map_or(Level::ALL, to_level)
  }

  /// Level that arriving calls are held to. It follows the reported level one interval later, so
  /// that calls on their way, which have used upstream time above, are not shed by a small move.
  pub(super) fn enforced(&self) -> Level {
    match (self.position, self.previous) {
      (Some(position), Some(previous)) => to_level(position.max(previous)),
      _ => Level::ALL,
    }
  }

  pub(super) fn arrived(&mut self, priority: Priority) {
    let class = Queue::class(priority);
    self.classes = self.classes.max(class + 1);
    self.arrived[class] += 1;
    self.below[class] += u32::from(self.level().admits(priority));
  }

  /// Admits everything, after a time without traffic.
  pub(super) fn reset(&mut self) {
    *self = Self::new();
  }

  pub(super) fn tick(&mut self, pressure: &Pressure<'_>) {
    self.estimate(pressure);
    self.previous = self.position;
    let drain = pressure.queue.len() as f64 / pressure.capacity;
    let wait = pressure.wait.max(drain);
    let goal = self.goal(pressure);
    let end = STEPS * self.classes as f64;
    let position = self.position.unwrap_or(end);
    if wait > pressure.target && goal < position {
      self.position = Some(goal);
      self.step = 1.0;
    } else if wait < pressure.target / 2.0 && goal > position {
      let position = self.raise(position, goal);
      self.position = (position < end).then_some(position);
    } else {
      self.step = 1.0;
    }
  }

  fn estimate(&mut self, pressure: &Pressure<'_>) {
    let weight = (pressure.elapsed * pressure.capacity / SAMPLES).clamp(0.05, 0.5);
    for class in 0..self.classes {
      let share = self.share(class);
      let seen = f64::from(self.arrived[class]) / pressure.elapsed;
      let old = &mut self.offered[class];
      if share >= MEASURABLE {
        let whole = f64::from(self.below[class]) / (share * pressure.elapsed);
        *old += (seen.max(whole) - *old) * weight;
      } else {
        *old = seen.max(*old * FADING);
      }
      self.arrived[class] = 0;
      self.below[class] = 0;
    }
  }

  /// Position up to which arrivals fit the capacity. Waiting calls count against their own and
  /// lower classes only, so that a backlog of low classes does not shed a high one.
  fn goal(&self, pressure: &Pressure<'_>) -> f64 {
    let mut admitted = 0.0;
    let mut waiting = 0;
    for class in 0..self.classes {
      waiting += pressure.queue.class_len(class);
      let excess = waiting as f64 / pressure.capacity - pressure.target;
      let drain = (excess / DRAIN_TIME).clamp(0.0, MAX_DRAIN);
      let room = (pressure.capacity * (1.0 - drain) - admitted).max(0.0);
      if self.offered[class] > room {
        return STEPS * (class as f64 + room / self.offered[class]);
      }
      admitted += self.offered[class];
    }
    STEPS * self.classes as f64
  }

  /// Rises half the way to the goal within a class whose arrivals are known, and by doubling steps
  /// into one whose arrivals are not.
  fn raise(&mut self, position: f64, goal: f64) -> f64 {
    let class = (position / STEPS) as usize;
    let known = if self.share(class) >= MEASURABLE {
      STEPS * (class as f64 + 1.0)
    } else {
      position
    };
    let half = position + (goal - position) / 2.0;
    let raised = half.min(known).max(position + self.step).min(goal);
    self.step *= 2.0;
    raised
  }

  /// Share of a class that is admitted.
  fn share(&self, class: usize) -> f64 {
    self.position.map_or(1.0, |position| {
      (position / STEPS - class as f64).clamp(0.0, 1.0)
    })
  }
}

fn to_level(position: f64) -> Level {
  Level(position.clamp(0.0, f64::from(u16::MAX)) as u16)
}
