//! What a run showed.

use {
  cactusyoke_standins::{
    load::{AttemptOutcome, ClassLoad, LoadReport, Sample},
    upstream::Runs,
  },
  std::time::Duration,
};

/// Window for recovery.
const WINDOW: Duration = Duration::from_millis(500);

/// Requests of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassOutcome {
  /// Class.
  pub name: String,
  /// Requests sent.
  pub sent: u64,
  /// Answered completely.
  pub answered: u64,
  /// Not run, by the last attempt.
  pub not_run: u64,
  /// Answered completely with an error.
  pub failed: u64,
  /// Unknown, broken or given up.
  pub unknown: u64,
  /// Requests whose complete answer ended during the surge, a second.
  pub goodput: f64,
  /// Time from the end of the surge until 99% are answered completely in each later window; `None`
  /// when that was not reached.
  pub recovery: Option<Duration>,
}

/// One run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
  /// Classes, most important first.
  pub classes: Vec<ClassOutcome>,
  /// Share of the upstreams' time spent for requests that were not answered completely.
  pub wasted: f64,
  /// Invariants that did not hold.
  pub broken: Vec<String>,
}

impl Outcome {
  /// Evaluates a run whose surge lasted from `surge.0` to `surge.1`.
  pub fn new(
    classes: &[ClassLoad],
    report: &LoadReport,
    runs: &Runs,
    surge: (Duration, Duration),
  ) -> Self {
    let outcomes = classes
      .iter()
      .enumerate()
      .map(|(index, class)| class_outcome(index, class, &report.samples, surge))
      .collect();
    Self {
      classes: outcomes,
      wasted: wasted(report, runs),
      broken: broken(classes, report, runs),
    }
  }
}

const fn is_complete(sample: &Sample) -> bool {
  matches!(sample.outcome, AttemptOutcome::Answered { success: true })
}

fn class_outcome(
  index: usize,
  class: &ClassLoad,
  samples: &[Sample],
  surge: (Duration, Duration),
) -> ClassOutcome {
  let samples = samples
    .iter()
    .filter(|sample| sample.class == index)
    .collect::<Vec<_>>();
  let count = |filter: &dyn Fn(&Sample) -> bool| {
    samples.iter().filter(|sample| filter(sample)).count() as u64
  };
  let answered = count(&is_complete);
  let not_run = count(&|sample| sample.outcome == AttemptOutcome::NotRun);
  let in_surge = count(&|sample| {
    let ended = sample.scheduled + sample.latency;
    is_complete(sample) && ended >= surge.0 && ended < surge.1
  });
  let failed = count(&|sample| sample.outcome == AttemptOutcome::Answered { success: false });
  let sent = samples.len() as u64;
  ClassOutcome {
    name: class.name.clone(),
    sent,
    answered,
    not_run,
    failed,
    unknown: sent - answered - not_run - failed,
    goodput: in_surge as f64 / surge.1.saturating_sub(surge.0).as_secs_f64(),
    recovery: recovery(&samples, surge.1),
  }
}

fn recovery(samples: &[&Sample], end: Duration) -> Option<Duration> {
  let last = samples.iter().map(|sample| sample.scheduled).max()?;
  let windows = (last.saturating_sub(end).as_nanos() / WINDOW.as_nanos()) as u32;
  let mut recovered = None;
  for window in (0..windows).rev() {
    let from = end + WINDOW * window;
    let inside = samples
      .iter()
      .filter(|sample| sample.scheduled >= from && sample.scheduled < from + WINDOW);
    let (mut sent, mut answered) = (0_u32, 0_u32);
    for sample in inside {
      sent += 1;
      answered += u32::from(is_complete(sample));
    }
    if f64::from(answered) < 0.99 * f64::from(sent) {
      break;
    }
    recovered = Some(WINDOW * window);
  }
  recovered
}

/// Work is counted by attempt, with the calls made for it: their tags begin with the attempt's.
fn wasted(report: &LoadReport, runs: &Runs) -> f64 {
  let answered = report
    .attempts
    .iter()
    .filter(|attempt| matches!(attempt.outcome, AttemptOutcome::Answered { success: true }))
    .map(|attempt| attempt.tag.as_str())
    .collect::<std::collections::HashSet<&str>>();
  let (mut useful, mut all) = (0.0, 0.0);
  for (tag, work) in runs.all() {
    let attempt = tag.split('>').next().unwrap_or_default();
    let time = work.work.as_secs_f64();
    all += time;
    if answered.contains(attempt) {
      useful += time;
    }
  }
  if all > 0.0 { 1.0 - useful / all } else { 0.0 }
}

fn broken(classes: &[ClassLoad], report: &LoadReport, runs: &Runs) -> Vec<String> {
  let mut broken = Vec::new();
  let not_run = report.wrongly_not_run(runs);
  if let Some(tag) = not_run.first() {
    let count = not_run.len();
    broken.push(format!(
      "{count} requests were reported as not run but ran, such as `{tag}`"
    ));
  }
  for class in classes.iter().filter(|class| class.keyed) {
    let twice = report.run_twice(&class.name, runs);
    if let Some(tag) = twice.first() {
      let count = twice.len();
      broken.push(format!(
        "{count} requests with a key ran more than once, such as `{tag}`"
      ));
    }
  }
  let corrupt = report
    .classes
    .values()
    .map(|counts| counts.corrupt)
    .sum::<u64>();
  if corrupt > 0 {
    broken.push(format!("{corrupt} answers looked whole and were not"));
  }
  broken
}
