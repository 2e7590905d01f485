//! Measures the latency and processor time that the callers' listener and the upstream client add
//! to a call.
//!
//! Compares direct calls to a stand-in with calls through a node without admission control, in one
//! process. The node runs on a thread of its own, so that its processor time can be read.
//!
//! `cargo run --release -p cactusyoke-upstreams --example added_latency [SECONDS]`

use {
  cactusyoke_callers::{CallHandler, CallerRequest, Limits, serve},
  cactusyoke_model::{
    Answer, Call, CallFailure, CallHead, ClassRank, Connections, Context, Priority, Repeat,
    RequestId, Retries, RouteName, ServiceName, Slots, SpanId, empty_body,
  },
  cactusyoke_standins::upstream::{Client, Config, Upstream as StandIn},
  cactusyoke_upstreams::{
    Hints, Phase, Upstream, UpstreamConfig, UpstreamView, ViewHandle, announce::Announcement,
  },
  futures_util::future::join_all,
  hdrhistogram::Histogram,
  http::Request,
  rand::{Rng, SeedableRng, rngs::SmallRng},
  std::{
    error::Error,
    fs,
    net::SocketAddr,
    sync::{
      Arc,
      atomic::{AtomicU64, Ordering},
      mpsc,
    },
    thread,
    time::{Duration, Instant},
  },
  tokio::{net::TcpListener, sync::Mutex, task::JoinSet, time},
  tokio_util::sync::CancellationToken,
};

/// Calls per second in the latency comparison: the mean rate of a node at full scale.
const RATE: f64 = 400.0;

/// Concurrent callers in the throughput comparison.
const CALLERS: usize = 32;

struct Forward {
  upstream: Upstream,
  spans: AtomicU64,
  route: RouteName,
  service: ServiceName,
}

impl CallHandler for Forward {
  async fn handle(&self, request: CallerRequest) -> Result<Answer, CallFailure> {
    let span = SpanId(self.spans.fetch_add(1, Ordering::Relaxed));
    let root = RequestId(u128::from(span.0));
    let remaining = Duration::from_secs(10);
    let priority = Priority::new(ClassRank(0), root);
    let head = CallHead {
      root,
      tenant: None,
      route: self.route.clone(),
      service: self.service.clone(),
      method: request.method,
      path: request.path,
      headers: request.headers,
      priority,
      depth: 0,
      repeat: Repeat::No,
      idempotent: true,
      key: request.key,
      retries: Retries::ZERO,
      deadline: Instant::now() + remaining,
    };
    let context = Context {
      root,
      span,
      priority,
      remaining,
      retries: Retries::ZERO,
    };
    let body = request.body;
    self.upstream.call(Call { head, body }, context).await
  }
}

/// Processor time used by the current thread.
fn thread_time() -> Duration {
  let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
  let nanos = text.split(' ').next().and_then(|text| text.parse().ok());
  Duration::from_nanos(nanos.unwrap_or(0))
}

type ThreadTimes = Arc<Mutex<mpsc::Receiver<Duration>>>;

/// Starts a node on a thread of its own, which sends its processor time about every 10 ms.
fn start_node(config: UpstreamConfig, service: ServiceName) -> (SocketAddr, ThreadTimes) {
  let (address_sender, address) = mpsc::channel();
  let (times, received) = mpsc::sync_channel(1);
  thread::spawn(move || {
    let runtime = tokio::runtime::Builder::new_current_thread()
      .enable_all()
      .build()
      .expect("a runtime");
    runtime.block_on(async {
      let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
      let address = listener.local_addr().expect("a bound address");
      address_sender.send(address).expect("main waits");
      let forward = Forward {
        upstream: Upstream::new(config),
        spans: AtomicU64::new(1),
        route: "test".parse().expect("a valid name"),
        service,
      };
      let shutdown = CancellationToken::new();
      tokio::spawn(serve(
        listener,
        Arc::new(forward),
        Limits::default(),
        shutdown,
      ));
      loop {
        time::sleep(Duration::from_millis(10)).await;
        // Fails while the channel is full: the previous value has not been read yet.
        let _full = times.try_send(thread_time());
      }
    });
  });
  let address = address.recv().expect("the node starts");
  (address, Arc::new(Mutex::new(received)))
}

async fn node_time(times: &ThreadTimes) -> Duration {
  let times = Arc::clone(times);
  let times = times.lock_owned().await;
  let read = move || {
    // The first value may be old: it may have waited in the channel.
    let _waited = times.recv();
    times.recv().unwrap_or_default()
  };
  tokio::task::spawn_blocking(read).await.unwrap_or_default()
}

async fn call(client: &Client, address: SocketAddr) -> Duration {
  let request = Request::get("/stock").body(empty_body()).expect("valid");
  let start = Instant::now();
  let received = client.exchange(address, request).await.expect("an answer");
  assert!(received.status.is_success());
  start.elapsed()
}

/// Latencies in nanoseconds of calls with random arrivals at the mean rate `RATE`.
async fn at_rate(address: SocketAddr, duration: Duration, seed: u64) -> Histogram<u64> {
  let mut rng = SmallRng::seed_from_u64(seed);
  let client = Arc::new(Client::default());
  let mut calls = JoinSet::new();
  let mut latencies = Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("valid");
  let start = time::Instant::now();
  let mut next = start;
  while next < start + duration {
    next += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / RATE);
    time::sleep_until(next).await;
    let client = Arc::clone(&client);
    calls.spawn(async move { call(&client, address).await });
    while let Some(done) = calls.try_join_next() {
      latencies.saturating_record(done.expect("no panic").as_nanos() as u64);
    }
  }
  while let Some(done) = calls.join_next().await {
    latencies.saturating_record(done.expect("no panic").as_nanos() as u64);
  }
  latencies
}

/// Number of calls in `duration`, from callers that each wait for their answer.
async fn at_full_load(address: SocketAddr, duration: Duration) -> u64 {
  let end = Instant::now() + duration;
  let callers = (0..CALLERS).map(|_caller| {
    tokio::spawn(async move {
      let client = Client::default();
      let mut calls = 0_u64;
      while Instant::now() < end {
        call(&client, address).await;
        calls += 1;
      }
      calls
    })
  });
  let counts = join_all(callers).await;
  counts.into_iter().map(|count| count.unwrap_or(0)).sum()
}

fn micros(latencies: &Histogram<u64>, quantile: f64) -> f64 {
  latencies.value_at_quantile(quantile) as f64 / 1000.0
}

#[tokio::main(worker_threads = 4)]
async fn main() -> Result<(), Box<dyn Error>> {
  let seconds = std::env::args()
    .nth(1)
    .map_or(Ok(10), |text| text.parse())?;
  let duration = Duration::from_secs(seconds);
  let service = "inventory".parse::<ServiceName>()?;
  let standin = StandIn::start(Config::new(service.clone())).await?;
  let view_handle = ViewHandle::new(UpstreamView {
    phase: Phase::Serving,
    since: Instant::now(),
    announcement: Some(Announcement {
      service: service.clone(),
      address: standin.address(),
      slots: Slots(100),
      connections: Connections(200),
      cold_start: Duration::ZERO,
      instance: None,
      incarnation: None,
    }),
    hints: Hints::default(),
  });
  let (node, times) = start_node(UpstreamConfig::new(view_handle), service);
  // Warm-up: opens connections and fills caches.
  at_full_load(node, Duration::from_millis(500)).await;
  for round in 0..3 {
    let direct = at_rate(standin.address(), duration, round).await;
    let before = node_time(&times).await;
    let through = at_rate(node, duration, round).await;
    let used = node_time(&times).await.saturating_sub(before);
    for quantile in [0.5, 0.99] {
      println!(
        "round={round} rate={RATE} quantile={quantile} direct_us={:.1} through_us={:.1} added_us={:.1}",
        micros(&direct, quantile),
        micros(&through, quantile),
        micros(&through, quantile) - micros(&direct, quantile),
      );
    }
    println!(
      "round={round} rate={RATE} calls={} node_core_percent={:.2}",
      through.len(),
      100.0 * used.as_secs_f64() / duration.as_secs_f64(),
    );
    let direct = at_full_load(standin.address(), duration).await;
    let before = node_time(&times).await;
    let through = at_full_load(node, duration).await;
    let used = node_time(&times).await.saturating_sub(before);
    println!(
      "round={round} callers={CALLERS} direct_per_s={:.0} through_per_s={:.0} node_cores={:.2} per_core_per_s={:.0}",
      direct as f64 / duration.as_secs_f64(),
      through as f64 / duration.as_secs_f64(),
      used.as_secs_f64() / duration.as_secs_f64(),
      through as f64 / used.as_secs_f64(),
    );
  }
  Ok(())
}
