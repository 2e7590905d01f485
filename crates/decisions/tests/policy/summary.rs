use {
  super::scenario::{Deployment, OVERLOAD, RECOVERY, Scenario, WARM_UP},
  std::{
    fmt::{self, Display, Formatter},
    ops::Range,
    time::Duration,
  },
};

/// Window over which recovery is judged.
const WINDOW: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(100);
/// Ratio to normal latency that still counts as normal, since small windows vary.
const LATENCY_MARGIN: f64 = 1.2;

/// Attempt of a caller; times are since the start of the run.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
  pub class: usize,
  /// When the caller sent its first attempt.
  pub arrived: Duration,
  pub sent: Duration,
  pub answered: Option<Duration>,
  pub number: u32,
  /// Time spent at upstreams, seconds.
  pub work: f64,
}

/// Results of one run.
#[derive(Clone, Debug)]
pub struct Summary {
  /// Share of requests answered by class, of those that arrived during the overload.
  pub answered_shares: [f64; 4],
  /// Requests answered during the overload, relative to the capacity then.
  pub goodput: f64,
  /// Share of upstream time spent on failed attempts, of those sent during the overload.
  pub wasted: f64,
  /// Time from the end of the overload to normal goodput and latency; `None` when not reached.
  pub recovery: Option<Duration>,
  /// Attempts that failed before the overload.
  pub early_failures: usize,
  /// Whether the first class alone fits the capacity during the overload.
  pub first_fits: bool,
}

impl Summary {
  pub fn new(deployment: Deployment, scenario: Scenario, attempts: &[Attempt]) -> Self {
    let overload = WARM_UP..WARM_UP + OVERLOAD;
    let of_class = |class: usize| {
      attempts
        .iter()
        .filter(|attempt| attempt.class == class && overload.contains(&attempt.arrived))
        .collect::<Vec<&Attempt>>()
    };
    let answered_shares = [0, 1, 2, 3].map(|class| {
      let class_attempts = of_class(class);
      let first = class_attempts
        .iter()
        .filter(|attempt| attempt.number == 1)
        .count();
      let answered = class_attempts
        .iter()
        .filter(|attempt| attempt.answered.is_some())
        .count();
      answered as f64 / first as f64
    });
    let answered = attempts
      .iter()
      .filter(|attempt| attempt.answered.is_some_and(|at| overload.contains(&at)))
      .count();
    let share = scenario.surge.min(scenario.speed);
    let allowed = deployment.capacity() * share * OVERLOAD.as_secs_f64();
    let work = |failed: bool| {
      attempts
        .iter()
        .filter(|attempt| overload.contains(&attempt.sent) && attempt.answered.is_none() == failed)
        .map(|attempt| attempt.work)
        .sum::<f64>()
    };
    let (wasted, used) = (work(true), work(false));
    let (_, first_share) = deployment.classes[0];
    Self {
      answered_shares,
      goodput: answered as f64 / allowed,
      wasted: wasted / (wasted + used),
      recovery: recovery(attempts),
      early_failures: attempts
        .iter()
        .filter(|attempt| attempt.sent < WARM_UP && attempt.answered.is_none())
        .filter(|attempt| attempt.sent + WINDOW < WARM_UP)
        .count(),
      first_fits: scenario.surge * first_share < scenario.speed,
    }
  }
}

impl Display for Summary {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    write!(f, "{:5.1}", self.goodput * 100.0)?;
    for share in self.answered_shares {
      write!(f, " | {:6.2}", share * 100.0)?;
    }
    write!(f, " | {:5.2} | ", self.wasted * 100.0)?;
    match self.recovery {
      Some(recovery) => write!(f, "{:.1}", recovery.as_secs_f64()),
      None => f.write_str("not"),
    }
  }
}

/// Share of callers with an answer, and the 99th percentile of latency.
fn quality(attempts: &[Attempt], window: &Range<Duration>) -> (f64, Duration) {
  let inside = || {
    attempts
      .iter()
      .filter(|attempt| window.contains(&attempt.arrived))
  };
  let first = inside().filter(|attempt| attempt.number == 1).count();
  let mut latencies = inside()
    .filter_map(|attempt| Some(attempt.answered?.saturating_sub(attempt.arrived)))
    .collect::<Vec<Duration>>();
  latencies.sort_unstable();
  let answered = latencies.len() as f64 / first as f64;
  let index = (first * 99).div_ceil(100).max(1) - 1;
  (answered, *latencies.get(index).unwrap_or(&Duration::MAX))
}

fn recovery(attempts: &[Attempt]) -> Option<Duration> {
  let end = WARM_UP + OVERLOAD;
  let (_, normal) = quality(attempts, &(WARM_UP / 5..WARM_UP * 9 / 10));
  let after = attempts
    .iter()
    .filter(|attempt| attempt.arrived >= end)
    .copied()
    .collect::<Vec<Attempt>>();
  let mut recovered = Duration::ZERO;
  let mut since = Duration::ZERO;
  while since + WINDOW <= RECOVERY {
    let (answered, latency) = quality(&after, &(end + since..end + since + WINDOW));
    since += STEP;
    if answered < 0.99 || latency > normal.mul_f64(LATENCY_MARGIN) {
      recovered = since;
    }
  }
  (recovered + WINDOW < RECOVERY).then_some(recovered)
}
