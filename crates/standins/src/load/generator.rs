use {
  crate::{
    load::{Attempt, AttemptOutcome, ClassLoad, LoadConfig, LoadReport, Sample},
    upstream::{Client, ClientError, Received, TAG_HEADER, pattern_body},
  },
  cactusyoke_model::{KEY_HEADER, empty_body},
  http::{HeaderValue, Request, header},
  rand::{Rng, SeedableRng, distr::weighted::WeightedIndex, rngs::SmallRng, seq::IndexedRandom},
  std::{net::SocketAddr, sync::Arc, time::Duration},
  tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout},
  },
};

/// Outcome of one request with all its attempts.
struct Finished {
  class: usize,
  attempts: Vec<Attempt>,
  scheduled: Instant,
  latency: Duration,
}

/// Sends the whole trace and waits for every request.
pub async fn run(config: LoadConfig) -> LoadReport {
  let mut rng = SmallRng::seed_from_u64(config.seed);
  let mut report = LoadReport::default();
  for class in &config.classes {
    report.classes.entry(class.name.clone()).or_default();
  }
  let Ok(mix) = WeightedIndex::new(config.classes.iter().map(|class| class.weight)) else {
    return report;
  };
  let client = Arc::new(Client::default());
  let mut requests = JoinSet::new();
  let mut number = 0;
  let begin = Instant::now();
  let mut start = begin;
  for segment in &config.trace {
    let end = start + segment.duration;
    let mut next = start;
    loop {
      // Exponential gaps: independent callers.
      let gap = -(1.0 - rng.random::<f64>()).ln() / segment.rate.max(f64::MIN_POSITIVE);
      next += Duration::try_from_secs_f64(gap).unwrap_or(segment.duration);
      if next >= end || number >= config.max_requests {
        break;
      }
      sleep_until(next).await;
      while let Some(finished) = requests.try_join_next() {
        record(&mut report, &config, begin, finished);
      }
      let class = rng.sample(&mix);
      let Some(target) = config.targets.choose(&mut rng) else {
        return report;
      };
      let request = PendingRequest {
        client: Arc::clone(&client),
        target: *target,
        index: class,
        class: config.classes[class].clone(),
        name: format!("{}-{number}", config.classes[class].name),
        scheduled: next,
      };
      requests.spawn(request.run());
      number += 1;
    }
    sleep_until(end.min(next)).await;
    start = end;
  }
  while let Some(finished) = requests.join_next().await {
    record(&mut report, &config, begin, finished);
  }
  report
}

fn record(
  report: &mut LoadReport,
  config: &LoadConfig,
  begin: Instant,
  finished: Result<Finished, tokio::task::JoinError>,
) {
  let finished = finished.expect("no request of the load generator panics");
  let class = &config.classes[finished.class];
  let counts = report.classes.entry(class.name.clone()).or_default();
  counts.sent += 1;
  counts.attempts += finished.attempts.len() as u64;
  if let Some(last) = finished.attempts.last() {
    counts.record(last.outcome, finished.latency);
    report.samples.push(Sample {
      class: finished.class,
      scheduled: finished.scheduled.duration_since(begin),
      latency: finished.latency,
      outcome: last.outcome,
    });
    config.progress.count(last.outcome);
  }
  report.attempts.extend(finished.attempts);
}

struct PendingRequest {
  client: Arc<Client>,
  target: SocketAddr,
  index: usize,
  class: ClassLoad,
  name: String,
  scheduled: Instant,
}

impl PendingRequest {
  async fn run(self) -> Finished {
    let mut attempts = Vec::new();
    loop {
      let tag = format!("{}.{}", self.name, attempts.len());
      let outcome = self.attempt(&tag).await;
      attempts.push(Attempt { tag, outcome });
      let answered = matches!(outcome, AttemptOutcome::Answered { .. });
      if answered || attempts.len() > self.class.retries as usize {
        break;
      }
      sleep(self.class.backoff).await;
    }
    Finished {
      class: self.index,
      attempts,
      scheduled: self.scheduled,
      latency: self.scheduled.elapsed(),
    }
  }

  async fn attempt(&self, tag: &str) -> AttemptOutcome {
    let class = &self.class;
    let body = if class.body == 0 {
      empty_body()
    } else {
      pattern_body(class.body)
    };
    let mut request = Request::new(body);
    *request.method_mut() = class.method.clone();
    let (Ok(uri), Ok(tag), Ok(key)) = (
      class.path.parse(),
      HeaderValue::try_from(tag),
      HeaderValue::try_from(&self.name),
    ) else {
      return AttemptOutcome::Unreachable;
    };
    *request.uri_mut() = uri;
    let headers = request.headers_mut();
    headers.insert(TAG_HEADER, tag);
    headers.insert(header::TE, HeaderValue::from_static("trailers"));
    if class.keyed {
      headers.insert(KEY_HEADER, key);
    }
    let exchange = self.client.exchange(self.target, request);
    match timeout(class.deadline, exchange).await {
      Err(_elapsed) => AttemptOutcome::Late,
      Ok(Err(ClientError::Connect)) => AttemptOutcome::Unreachable,
      Ok(Err(ClientError::NoHead | ClientError::Truncated)) => AttemptOutcome::Broken,
      Ok(Ok(received)) => outcome(&received),
    }
  }
}

fn outcome(received: &Received) -> AttemptOutcome {
  match received.header("cactusyoke-outcome") {
    "not-run" => AttemptOutcome::NotRun,
    "unknown" => AttemptOutcome::Unknown,
    _ if !received.is_intact() => AttemptOutcome::Corrupt,
    _ => AttemptOutcome::Answered {
      success: received.status.is_success(),
    },
  }
}
