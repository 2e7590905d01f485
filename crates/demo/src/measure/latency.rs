//! Latency that nodes add to a call, compared with direct calls in the same run, and throughput of
//! a node at saturation.

use {
  super::{Listeners, NodeProcess, Usage},
  crate::{FleetError, fleet::activate_preset},
  cactusyoke_model::{Connections, Slots, empty_body},
  cactusyoke_standins::{
    Addresses,
    platform::Platform,
    upstream::{Client, Config, Upstream},
  },
  hdrhistogram::Histogram,
  http::Request,
  std::{
    net::SocketAddr,
    sync::{
      Arc,
      atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
  },
  tokio::time::{interval, sleep},
};

/// Call rate on each path: the mean rate of a node at full scale, calls a second.
const CALL_RATE: u64 = 400;

/// Time for the nodes to discover each other and for the preset to reach all of them.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Numbers of concurrent callers, one measurement each, up to saturation.
const CALLER_COUNTS: [usize; 5] = [1, 4, 16, 64, 256];

const PRESET: &str = "
name: measure
classes: [calls]
routes:
  - {name: call, service: upstream, methods: [GET], path: /, class: calls, idempotent: true, deadline: 10s, retries: 1}
";

/// Measured latency of one path.
#[derive(Clone, Debug)]
pub struct Latency {
  /// Name of the path, such as `direct`.
  pub name: &'static str,
  /// Latency of the successful calls, microseconds.
  pub times: Histogram<u64>,
}

/// Running upstream with two nodes and the paths to it.
struct Setup {
  paths: Vec<(&'static str, SocketAddr)>,
  /// Node without an upstream, which forwards calls to the other node.
  entry_node: NodeProcess,
  /// Node beside the upstream.
  upstream_node: NodeProcess,
  _upstream: Upstream,
  _platform: Platform,
}

impl Setup {
  async fn start() -> Result<Self, FleetError> {
    let platform = Platform::start().await?;
    activate_preset(&platform, PRESET).await?;
    let addresses = Addresses::default();
    let (first, second) = (
      Listeners::new(addresses, 1_u8),
      Listeners::new(addresses, 2_u8),
    );
    let upstream_node = NodeProcess::start(first, &[first.node], platform.address(), 1)?;
    let entry_node = NodeProcess::start(second, &[first.node], platform.address(), 1)?;
    let config = Config {
      slots: Slots(512),
      connections: Connections(1024),
      announce: Some(first.announce),
      ..Config::new("upstream".parse()?)
    };
    let upstream = Upstream::start(config).await?;
    let paths = vec![
      ("direct", upstream.address()),
      ("one node", first.callers),
      ("two nodes", second.callers),
    ];
    sleep(SETTLE_TIME).await;
    Ok(Self {
      paths,
      entry_node,
      upstream_node,
      _upstream: upstream,
      _platform: platform,
    })
  }
}

/// Measures and prints idle cost, latency and saturation; `seconds` is the length of the part at a
/// fixed rate.
pub async fn measure_latency(seconds: u64) -> Result<(), FleetError> {
  let setup = Setup::start().await?;
  measure_idle(&setup).await?;
  let latencies = measure_fixed_rate(&setup.paths, seconds).await;
  print_latencies(&latencies);
  println!();
  println!(
    "{:<10} {:>8} {:>10} {:>10} {:>10} {:>12}",
    "path", "callers", "calls/s", "median us", "p99 us", "calls/core-s"
  );
  for (name, address) in &setup.paths {
    for callers in CALLER_COUNTS {
      measure_saturation(name, *address, callers, &setup.upstream_node).await?;
    }
  }
  Ok(())
}

async fn measure_idle(setup: &Setup) -> Result<(), FleetError> {
  let before = setup.entry_node.usage()?;
  let time = Duration::from_secs(5);
  sleep(time).await;
  let after = setup.entry_node.usage()?;
  let share =
    after.cpu_time.saturating_sub(before.cpu_time).as_secs_f64() / time.as_secs_f64() * 100.0;
  println!(
    "idle node: {share:.2}% of a core, {} KiB resident",
    after.memory_kib
  );
  Ok(())
}

/// Calls the paths in turn, so that other load on the machine affects all of them alike.
async fn measure_fixed_rate(paths: &[(&'static str, SocketAddr)], seconds: u64) -> Vec<Latency> {
  let client = Arc::new(Client::default());
  let mut latencies = paths
    .iter()
    .map(|(name, _)| Latency {
      name,
      times: Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid"),
    })
    .collect::<Vec<Latency>>();
  let mut ticks = interval(Duration::from_secs(1) / (CALL_RATE as u32 * paths.len() as u32));
  let mut calls = tokio::task::JoinSet::new();
  for number in 0..seconds * CALL_RATE * paths.len() as u64 {
    ticks.tick().await;
    let index = number as usize % paths.len();
    let (address, client) = (paths[index].1, Arc::clone(&client));
    calls.spawn(async move { (index, call(&client, address).await) });
    while let Some(Ok((index, Some(time)))) = calls.try_join_next() {
      latencies[index]
        .times
        .saturating_record(time.as_micros() as u64);
    }
  }
  while let Some(Ok((index, time))) = calls.join_next().await {
    if let Some(time) = time {
      latencies[index]
        .times
        .saturating_record(time.as_micros() as u64);
    }
  }
  latencies
}

async fn call(client: &Client, address: SocketAddr) -> Option<Duration> {
  let request = Request::get("/small").body(empty_body()).ok()?;
  let start = Instant::now();
  let received = client.exchange(address, request).await.ok()?;
  received.status.is_success().then(|| start.elapsed())
}

fn print_latencies(latencies: &[Latency]) {
  println!();
  println!("{CALL_RATE} calls/s on each path:");
  println!(
    "{:<10} {:>8} {:>10} {:>10} {:>14} {:>14}",
    "path", "calls", "median us", "p99 us", "median added", "p99 added"
  );
  let direct = latencies.first().map(|latency| {
    (
      latency.times.value_at_quantile(0.5),
      latency.times.value_at_quantile(0.99),
    )
  });
  let (direct_median, direct_p99) = direct.unwrap_or_default();
  for latency in latencies {
    let times = &latency.times;
    let (own_median, own_p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    println!(
      "{:<10} {:>8} {own_median:>10} {own_p99:>10} {:>14} {:>14}",
      latency.name,
      times.len(),
      own_median.saturating_sub(direct_median),
      own_p99.saturating_sub(direct_p99)
    );
  }
}

async fn measure_saturation(
  name: &str,
  address: SocketAddr,
  callers: usize,
  node: &NodeProcess,
) -> Result<(), FleetError> {
  let time = Duration::from_secs(2);
  let client = Arc::new(Client::default());
  let total = Arc::new(AtomicU64::new(0));
  let before = node.usage()?;
  let end = Instant::now() + time;
  let mut tasks = tokio::task::JoinSet::new();
  for _ in 0..callers {
    let (client, total) = (Arc::clone(&client), Arc::clone(&total));
    tasks.spawn(async move {
      let mut times =
        Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid");
      while Instant::now() < end {
        if let Some(time) = call(&client, address).await {
          times.saturating_record(time.as_micros() as u64);
          total.fetch_add(1, Relaxed);
        }
      }
      times
    });
  }
  let mut times =
    Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid");
  while let Some(Ok(part)) = tasks.join_next().await {
    times.add(part).expect("the bounds are the same");
  }
  let Usage { cpu_time: used, .. } = node.usage()?;
  let calls = total.load(Relaxed) as f64;
  let core_seconds = used.saturating_sub(before.cpu_time).as_secs_f64();
  let per_core = if core_seconds > 0.05 {
    format!("{:.0}", calls / core_seconds)
  } else {
    "-".to_owned()
  };
  println!(
    "{name:<10} {callers:>8} {:>10.0} {:>10} {:>10} {per_core:>12}",
    calls / time.as_secs_f64(),
    times.value_at_quantile(0.5),
    times.value_at_quantile(0.99)
  );
  Ok(())
}
