use {
  crate::{
    load::{Attempt, AttemptOutcome, ClassLoad, LoadConfig, LoadReport, Sample},
    upstream::{Client, ClientError, ReceivedResponse, TAG_HEADER, pattern_body},
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
struct CompletedRequest {
  class_index: usize,
  attempts: Vec<Attempt>,
  scheduled: Instant,
  latency: Duration,
}

/// Sends the requests of the whole trace and waits until each has ended.
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
  let load_start = Instant::now();
  let mut segment_start = load_start;
  for segment in &config.trace {
    let segment_end = segment_start + segment.duration;
    let mut next = segment_start;
    loop {
      // Independent callers arrive with exponentially distributed gaps.
      let gap = -(1.0 - rng.random::<f64>()).ln() / segment.rate.max(f64::MIN_POSITIVE);
      next += Duration::try_from_secs_f64(gap).unwrap_or(segment.duration);
      if next >= segment_end || number >= config.max_requests {
        break;
      }
      sleep_until(next).await;
      while let Some(completed) = requests.try_join_next() {
        record(&mut report, &config, load_start, completed);
      }
      let class_index = rng.sample(&mix);
      let Some(target) = config.targets.choose(&mut rng) else {
        return report;
      };
      let request = PendingRequest {
        client: Arc::clone(&client),
        target: *target,
        class_index,
        class: config.classes[class_index].clone(),
        name: format!("{}-{number}", config.classes[class_index].name),
        scheduled: next,
      };
      requests.spawn(request.run());
      number += 1;
    }
    sleep_until(segment_end.min(next)).await;
    segment_start = segment_end;
  }
  while let Some(completed) = requests.join_next().await {
    record(&mut report, &config, load_start, completed);
  }
  report
}

fn record(
  report: &mut LoadReport,
  config: &LoadConfig,
  load_start: Instant,
  completed: Result<CompletedRequest, tokio::task::JoinError>,
) {
  let completed = completed.expect("no request of the load generator panics");
  let class = &config.classes[completed.class_index];
  let counts = report.classes.entry(class.name.clone()).or_default();
  counts.sent += 1;
  counts.attempts += completed.attempts.len() as u64;
  if let Some(last) = completed.attempts.last() {
    counts.record(last.outcome, completed.latency);
    report.samples.push(Sample {
      class_index: completed.class_index,
      scheduled: completed.scheduled.duration_since(load_start),
      latency: completed.latency,
      outcome: last.outcome,
    });
    config.progress.count(last.outcome);
  }
  report.attempts.extend(completed.attempts);
}

/// Request to send, and to retry as its class says.
struct PendingRequest {
  client: Arc<Client>,
  target: SocketAddr,
  class_index: usize,
  class: ClassLoad,
  /// Idempotency key, and the part of the tag that all attempts share.
  name: String,
  scheduled: Instant,
}

impl PendingRequest {
  async fn run(self) -> CompletedRequest {
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
    CompletedRequest {
      class_index: self.class_index,
      attempts,
      scheduled: self.scheduled,
      latency: self.scheduled.elapsed(),
    }
  }

  async fn attempt(&self, tag: &str) -> AttemptOutcome {
    let class = &self.class;
    let body = if class.body_length == 0 {
      empty_body()
    } else {
      pattern_body(class.body_length)
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
      Err(_elapsed) => AttemptOutcome::TimedOut,
      Ok(Err(ClientError::Connect)) => AttemptOutcome::Unreachable,
      Ok(Err(ClientError::NoHead | ClientError::Truncated)) => AttemptOutcome::ConnectionLost,
      Ok(Ok(received)) => outcome(&received),
    }
  }
}

fn outcome(received: &ReceivedResponse) -> AttemptOutcome {
  match received.header("cactusyoke-outcome") {
    "not-run" => AttemptOutcome::NotRun,
    "unknown" => AttemptOutcome::Unknown,
    _ if !received.is_intact() => AttemptOutcome::Corrupt,
    _ => AttemptOutcome::Answered {
      success: received.status.is_success(),
    },
  }
}
