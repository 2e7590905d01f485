//! Measures many members over UDP on the loopback address, all in one process.
//!
//! `cargo run --release -p cactusyoke-nodes --example membership_udp [-- MEMBERS]`

use {
  cactusyoke_decisions::membership::{MembersConfig, UpstreamInfo, UpstreamState},
  cactusyoke_model::{Clock, Connections, Incarnation, NodeId, ServiceName, Slots, SystemClock},
  cactusyoke_nodes::{Membership, MembershipConfig, MembershipHandle},
  std::{
    env, fs,
    net::UdpSocket,
    sync::Arc,
    time::{Duration, Instant},
  },
  tokio::time::sleep,
};

/// Duration of the measurement without changes, and of the pause before it in which the members
/// settle.
const STEADY_PERIOD: Duration = Duration::from_secs(20);
/// Clock ticks per second in the process times of the kernel.
const KERNEL_TICKS: f64 = 100.0;

/// CPU time used by this process, seconds.
fn cpu_seconds() -> f64 {
  let stat = fs::read_to_string("/proc/self/stat").expect("process times");
  let fields = stat.rsplit(')').next().unwrap_or_default();
  let ticks = fields.split_whitespace().skip(11).take(2);
  ticks
    .filter_map(|field| field.parse::<f64>().ok())
    .sum::<f64>()
    / KERNEL_TICKS
}

/// Waits until all `handles` see `count` members that serve `service`; returns the time taken.
async fn wait_for_members(
  handles: &[MembershipHandle],
  count: usize,
  service: &ServiceName,
) -> Duration {
  let start = Instant::now();
  while !handles
    .iter()
    .all(|handle| handle.view().serving(service).len() == count)
  {
    sleep(Duration::from_millis(20)).await;
  }
  start.elapsed()
}

#[tokio::main]
async fn main() {
  let count = env::args()
    .nth(1)
    .map_or(100, |arg| arg.parse().expect("a number of members"));
  let sockets = (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a free port"));
  let sockets = sockets.collect::<Vec<UdpSocket>>();
  let addresses = sockets
    .iter()
    .map(|socket| socket.local_addr().expect("an address"));
  let nodes = addresses.map(NodeId).collect::<Vec<_>>();
  drop(sockets);
  let clock: Arc<dyn Clock> = Arc::new(SystemClock);
  let service = "pledges".parse::<ServiceName>().expect("a name");
  let mut handles = Vec::new();
  for (seed, node) in (0..).zip(&nodes) {
    let config = MembershipConfig {
      node: *node,
      bind: node.0,
      incarnation: Incarnation(1),
      data_centre: "east".parse().expect("a name"),
      contacts: nodes.iter().copied().take(3).collect(),
      clock: Arc::clone(&clock),
      seed,
      bytes_per_second: MembersConfig::BYTES_PER_SECOND,
    };
    let handle = Membership::start(config).await.expect("a membership");
    handle.set_upstream(UpstreamInfo {
      service: Some(service.clone()),
      state: UpstreamState::Serving,
      slots: Slots(120),
      connections: Connections(800),
    });
    handles.push(handle);
  }
  let join_time = wait_for_members(&handles, count, &service).await;
  sleep(STEADY_PERIOD).await;
  let before = cpu_seconds();
  sleep(STEADY_PERIOD).await;
  let cpu_percent = (cpu_seconds() - before) / STEADY_PERIOD.as_secs_f64() / count as f64 * 100.0;
  handles[count - 1].leave().await;
  let leave_time = wait_for_members(&handles, count - 1, &service).await;
  println!(
    "members={count} start_together_s={:.1} rest_cpu_percent_of_a_core={cpu_percent:.3} leave_known_s={:.1}",
    join_time.as_secs_f64(),
    leave_time.as_secs_f64()
  );
}
