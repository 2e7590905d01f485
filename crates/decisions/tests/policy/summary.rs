use {
  super::scenario::{AFTER, Deployment, Scenario, TROUBLE, WARM_UP},
  std::{
    fmt::{self, Display, Formatter},
    ops::Range,
    time::Duration,
  },
};

/// Window over which recovery is judged.
const WINDOW: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(100);
/// Normal latency allows for the chance of a small window.
const LATENCY_MARGIN: f64 = 1.2;

/// Attempt of a caller. Times count from the start of the run.
#[derive(Clone, Copy, Debug)]
pub struct Finished {
  pub class: usize,
  /// First attempt of the caller.
  pub arrived: Duration,
  pub sent: Duration,
  pub answered: Option<Duration>,
  pub attempt: u32,
  /// Upstream time, seconds.
  pub work: f64,
}

/// Figures of one run.
#[derive(Clone, Debug)]
pub struct Summary {
  /// Share of whole requests by class during the trouble.
  pub whole: [f64; 4],
  /// Whole requests of all that capacity allowed during the trouble.
  pub goodput: f64,
  /// Upstream time for attempts that failed, of all upstream time.
  pub wasted: f64,
  /// Time from the end of the trouble to normal goodput and latency; `None` when not reached.
  pub recovery: Option<Duration>,
  /// Attempts that failed before the trouble.
  pub failed_before: usize,
  /// The first class alone fits the capacity during the trouble.
  pub first_fits: bool,
}

impl Summary {
  pub fn new(deployment: Deployment, scenario: Scenario, finished: &[Finished]) -> Self {
    let trouble = WARM_UP..WARM_UP + TROUBLE;
    let callers = |class: usize| {
      finished
        .iter()
        .filter(|one| one.class == class && trouble.contains(&one.arrived))
        .collect::<Vec<&Finished>>()
    };
    let whole = [0, 1, 2, 3].map(|class| {
      let attempts = callers(class);
      let first = attempts.iter().filter(|one| one.attempt == 1).count();
      let whole = attempts.iter().filter(|one| one.answered.is_some()).count();
      whole as f64 / first as f64
    });
    let answered = finished
      .iter()
      .filter(|one| one.answered.is_some_and(|at| trouble.contains(&at)))
      .count();
    let share = scenario.surge.min(scenario.speed);
    let allowed = deployment.capacity() * share * TROUBLE.as_secs_f64();
    let work = |failed: bool| {
      finished
        .iter()
        .filter(|one| trouble.contains(&one.sent) && one.answered.is_none() == failed)
        .map(|one| one.work)
        .sum::<f64>()
    };
    let (wasted, used) = (work(true), work(false));
    let (_, first_share) = deployment.classes[0];
    Self {
      whole,
      goodput: answered as f64 / allowed,
      wasted: wasted / (wasted + used),
      recovery: recovery(finished),
      failed_before: finished
        .iter()
        .filter(|one| one.sent < WARM_UP && one.answered.is_none())
        .filter(|one| one.sent + WINDOW < WARM_UP)
        .count(),
      first_fits: scenario.surge * first_share < scenario.speed,
    }
  }
}

impl Display for Summary {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    write!(f, "{:5.1}", self.goodput * 100.0)?;
    for whole in self.whole {
      write!(f, " | {:6.2}", whole * 100.0)?;
    }
    write!(f, " | {:5.2} | ", self.wasted * 100.0)?;
    match self.recovery {
      Some(recovery) => write!(f, "{:.1}", recovery.as_secs_f64()),
      None => f.write_str("not"),
    }
  }
}

/// Share of callers with a whole response, and the 99th percentile of latency.
fn quality(finished: &[Finished], window: &Range<Duration>) -> (f64, Duration) {
  let inside = || finished.iter().filter(|one| window.contains(&one.arrived));
  let first = inside().filter(|one| one.attempt == 1).count();
  let mut latencies = inside()
    .filter_map(|one| Some(one.answered?.saturating_sub(one.arrived)))
    .collect::<Vec<Duration>>();
  latencies.sort_unstable();
  let whole = latencies.len() as f64 / first as f64;
  let index = (first * 99).div_ceil(100).max(1) - 1;
  (whole, *latencies.get(index).unwrap_or(&Duration::MAX))
}

fn recovery(finished: &[Finished]) -> Option<Duration> {
  let end = WARM_UP + TROUBLE;
  let (_, normal) = quality(finished, &(WARM_UP / 5..WARM_UP * 9 / 10));
  let after = finished
    .iter()
    .filter(|one| one.arrived >= end)
    .copied()
    .collect::<Vec<Finished>>();
  let mut recovered = Duration::ZERO;
  let mut since = Duration::ZERO;
  while since + WINDOW <= AFTER {
    let (whole, latency) = quality(&after, &(end + since..end + since + WINDOW));
    since += STEP;
    if whole < 0.99 || latency > normal.mul_f64(LATENCY_MARGIN) {
      recovered = since;
    }
  }
  (recovered + WINDOW < AFTER).then_some(recovered)
}
