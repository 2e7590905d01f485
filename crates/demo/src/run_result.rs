//! Evaluation of one run.

use {
  cactusyoke_standins::{
    load::{AttemptOutcome, ClassLoad, LoadReport, Sample},
    upstream::RunLog,
  },
  std::time::Duration,
};

/// Length of the windows that recovery is judged by.
const RECOVERY_WINDOW: Duration = Duration::from_millis(500);

/// Results of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassResult {
  /// Name.
  pub name: String,
  /// Requests sent.
  pub sent: u64,
  /// Answered completely with a 2xx status.
  pub answered: u64,
  /// Reported as not run on the last attempt.
  pub not_run: u64,
  /// Answered completely with another status.
  pub failed: u64,
  /// Any other outcome: unknown, connection failed, timed out or corrupt.
  pub unknown: u64,
  /// Requests a second whose complete 2xx answer ended during the surge.
  pub goodput: f64,
  /// Time from the end of the surge until at least 99% of the requests are answered with success in
  /// each later window; `None` when that was not reached.
  pub recovery: Option<Duration>,
}

/// Results of one run.
#[derive(Clone, Debug, Default)]
pub struct RunResult {
  /// Results by class, most important first.
  pub classes: Vec<ClassResult>,
  /// Share of the upstreams' slot time spent on attempts without a complete 2xx answer.
  pub wasted_share: f64,
  /// Invariants that did not hold, as text.
  pub violations: Vec<String>,
}

impl RunResult {
  /// Evaluates a run whose surge lasted from `surge.0` to `surge.1`.
  pub fn new(
    classes: &[ClassLoad],
    report: &LoadReport,
    runs: &RunLog,
    surge: (Duration, Duration),
  ) -> Self {
    let results = classes
      .iter()
      .enumerate()
      .map(|(index, class)| class_result(index, class, &report.samples, surge))
      .collect();
    Self {
      classes: results,
      wasted_share: wasted_share(report, runs),
      violations: violations(classes, report, runs),
    }
  }
}

const fn is_success(sample: &Sample) -> bool {
  matches!(sample.outcome, AttemptOutcome::Answered { success: true })
}

fn class_result(
  index: usize,
  class: &ClassLoad,
  samples: &[Sample],
  surge: (Duration, Duration),
) -> ClassResult {
  let samples = samples
    .iter()
    .filter(|sample| sample.class_index == index)
    .collect::<Vec<_>>();
  let count = |filter: &dyn Fn(&Sample) -> bool| {
    samples.iter().filter(|sample| filter(sample)).count() as u64
  };
  let answered = count(&is_success);
  let not_run = count(&|sample| sample.outcome == AttemptOutcome::NotRun);
  let answered_in_surge = count(&|sample| {
    let ended = sample.scheduled + sample.latency;
    is_success(sample) && ended >= surge.0 && ended < surge.1
  });
  let failed = count(&|sample| sample.outcome == AttemptOutcome::Answered { success: false });
  let sent = samples.len() as u64;
  ClassResult {
    name: class.name.clone(),
    sent,
    answered,
    not_run,
    failed,
    unknown: sent - answered - not_run - failed,
    goodput: answered_in_surge as f64 / surge.1.saturating_sub(surge.0).as_secs_f64(),
    recovery: recovery(&samples, surge.1),
  }
}

fn recovery(samples: &[&Sample], end: Duration) -> Option<Duration> {
  let last = samples.iter().map(|sample| sample.scheduled).max()?;
  let windows = (last.saturating_sub(end).as_nanos() / RECOVERY_WINDOW.as_nanos()) as u32;
  let mut recovered = None;
  for window in (0..windows).rev() {
    let from = end + RECOVERY_WINDOW * window;
    let inside = samples
      .iter()
      .filter(|sample| sample.scheduled >= from && sample.scheduled < from + RECOVERY_WINDOW);
    let (mut sent, mut answered) = (0_u32, 0_u32);
    for sample in inside {
      sent += 1;
      answered += u32::from(is_success(sample));
    }
    if f64::from(answered) < 0.99 * f64::from(sent) {
      break;
    }
    recovered = Some(RECOVERY_WINDOW * window);
  }
  recovered
}

/// Slot time is counted by attempt and includes the calls made for it, whose tags begin with the
/// tag of the attempt.
fn wasted_share(report: &LoadReport, runs: &RunLog) -> f64 {
  let answered = report
    .attempts
    .iter()
    .filter(|attempt| matches!(attempt.outcome, AttemptOutcome::Answered { success: true }))
    .map(|attempt| attempt.tag.as_str())
    .collect::<std::collections::HashSet<&str>>();
  let (mut useful, mut all) = (0.0, 0.0);
  for (tag, counts) in runs.all() {
    let attempt = tag.split('>').next().unwrap_or_default();
    let time = counts.slot_time.as_secs_f64();
    all += time;
    if answered.contains(attempt) {
      useful += time;
    }
  }
  if all > 0.0 { 1.0 - useful / all } else { 0.0 }
}

fn violations(classes: &[ClassLoad], report: &LoadReport, runs: &RunLog) -> Vec<String> {
  let mut violations = Vec::new();
  let not_run = report.wrongly_not_run(runs);
  if let Some(tag) = not_run.first() {
    let count = not_run.len();
    violations.push(format!(
      "{count} requests were reported as not run but ran, such as `{tag}`"
    ));
  }
  for class in classes.iter().filter(|class| class.keyed) {
    let twice = report.run_twice(&class.name, runs);
    if let Some(tag) = twice.first() {
      let count = twice.len();
      violations.push(format!(
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
    violations.push(format!(
      "{corrupt} answers ended normally but did not match their hash"
    ));
  }
  violations
}
