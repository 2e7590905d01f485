//! Measures memberships over UDP on the loopback address, all in one process.
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

const REST: Duration = Duration::from_secs(20);
/// Ticks of the process times that the kernel reports, a second.
const KERNEL_TICKS: f64 = 100.0;

/// Processor time of this process, seconds.
fn cpu() -> f64 {
  let stat = fs::read_to_string("/proc/self/stat").expect("process times");
  let fields = stat.rsplit(')').next().unwrap_or_default();
  let ticks = fields.split_whitespace().skip(11).take(2);
  ticks
    .filter_map(|field| field.parse::<f64>().ok())
    .sum::<f64>()
    / KERNEL_TICKS
}

async fn until(handles: &[MembershipHandle], count: usize, service: &ServiceName) -> Duration {
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
    handle.set_own(UpstreamInfo {
      service: Some(service.clone()),
      state: UpstreamState::Serving,
      slots: Slots(120),
      connections: Connections(800),
    });
    handles.push(handle);
  }
  let together = until(&handles, count, &service).await;
  sleep(REST).await;
  let before = cpu();
  sleep(REST).await;
  let share = (cpu() - before) / REST.as_secs_f64() / count as f64 * 100.0;
  handles[count - 1].leave().await;
  let left = until(&handles, count - 1, &service).await;
  println!(
    "members={count} start_together_s={:.1} rest_cpu_percent_of_a_core={share:.3} leave_known_s={:.1}",
    together.as_secs_f64(),
    left.as_secs_f64()
  );
}
