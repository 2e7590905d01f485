//! Cost of the control traffic between nodes that handle no calls, by number of nodes.

use {
  super::{ControlFleet, ControlPlan, NodeCounts, NodeKind, Scrape, control_table},
  crate::FleetError,
  cactusyoke_standins::platform::CallCounts,
  std::{
    collections::BTreeMap,
    fs,
    time::{Duration, Instant},
  },
  tokio::time::{MissedTickBehavior, interval, sleep},
};

/// Longest wait for all nodes to know each other, or to know a killed one as dead.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(30);
/// Wait between the start and the first measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Changes of the configuration.
const CHANGES: u32 = 20;
/// Time between two changes, and between two scrapes while nodes start or detect a killed one.
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Wait until the gauges of a node, which it updates every second, include everything before.
const GAUGE_DELAY: Duration = Duration::from_millis(1_500);
/// Time in which all nodes should adopt a change; the measurement waits twice as long after the
/// last change.
const ADOPTION_LIMIT: Duration = Duration::from_secs(4);

/// Cost for one number of nodes. Byte rates are per node, of control bytes sent and received.
#[derive(Clone, Debug, Default)]
pub struct ControlCost {
  /// Nodes.
  pub nodes: usize,
  /// How the nodes ran.
  pub kind: NodeKind,
  /// Load average of the machine over one minute.
  pub load_average: String,
  /// Time until all nodes knew each other and had adopted the preset; `None` past the limit.
  pub startup: Option<Duration>,
  /// Platform calls of all nodes during the start.
  pub startup_calls: CallCounts,
  /// Mean byte rate of a node, bytes a second.
  pub byte_rate: f64,
  /// Byte rate of the node with the highest, bytes a second.
  pub peak_rate: f64,
  /// Processor time of a node, percent of a core.
  pub cpu_percent: f64,
  /// Resident memory of a node, KiB.
  pub memory_kib: f64,
  /// Platform calls of all nodes a second: reads, writes, watches.
  pub call_rates: [f64; 3],
  /// Open links per node after the changes, each link counted once.
  pub links: f64,
  /// Mean byte rate of a node with these links open, bytes a second.
  pub linked_rate: f64,
  /// Processor time of a node with these links open, percent of a core.
  pub linked_cpu: f64,
  /// Bytes per node and change, without the heartbeats of the links that changes open.
  pub change_bytes: f64,
  /// Time from the acceptance of each change to its adoption by all nodes.
  pub adoption_times: Vec<Duration>,
  /// Changes that not all nodes had adopted by the end of the wait after the last change.
  pub missed_changes: usize,
  /// Time until all other nodes knew a killed node as dead; `None` past the limit.
  pub death_detection: Option<Duration>,
}

/// Measures each number of nodes in turn and prints the costs and their slopes.
pub async fn measure_control(node_counts: &NodeCounts, services: u16) -> Result<(), FleetError> {
  let mut costs = Vec::new();
  for nodes in &node_counts.0 {
    let cost = ControlCost::measure(ControlPlan::new(*nodes, services)).await?;
    control_table::print_cost(&cost);
    costs.push(cost);
  }
  control_table::print_slopes(&costs);
  Ok(())
}

/// Totals of what the nodes have used at one moment.
struct UsageSnapshot {
  at: Instant,
  cpu_time: Duration,
  /// Bytes of each node, sent and received.
  bytes: Vec<f64>,
}

impl UsageSnapshot {
  async fn take(fleet: &ControlFleet) -> Result<Self, FleetError> {
    let scrapes = fleet.scrape().await;
    Ok(Self {
      at: Instant::now(),
      // Read after the scrape, so that a window that begins here does not include its cost.
      cpu_time: fleet.usage()?.cpu_time,
      bytes: scrapes
        .iter()
        .map(|scrape| scrape.sent + scrape.received)
        .collect(),
    })
  }

  fn total(&self) -> f64 {
    self.bytes.iter().sum()
  }
}

/// Cost per node in one window.
struct WindowCost {
  byte_rate: f64,
  peak_rate: f64,
  cpu_percent: f64,
}

impl WindowCost {
  async fn measure(fleet: &ControlFleet, length: Duration) -> Result<Self, FleetError> {
    let before = UsageSnapshot::take(fleet).await?;
    let started = Instant::now();
    sleep(length).await;
    let cpu_time = fleet.usage()?.cpu_time;
    let elapsed = started.elapsed().as_secs_f64();
    let after = UsageSnapshot::take(fleet).await?;
    let seconds = (after.at - before.at).as_secs_f64();
    let nodes = fleet.len() as f64;
    let pairs = before.bytes.iter().zip(&after.bytes);
    Ok(Self {
      byte_rate: (after.total() - before.total()) / seconds / nodes,
      peak_rate: pairs
        .map(|(before, after)| (after - before) / seconds)
        .fold(0.0, f64::max),
      cpu_percent: cpu_time.saturating_sub(before.cpu_time).as_secs_f64() / elapsed / nodes * 100.0,
    })
  }
}

impl ControlCost {
  /// Measures one number of nodes.
  pub async fn measure(plan: ControlPlan) -> Result<Self, FleetError> {
    let started = Instant::now();
    let mut fleet = ControlFleet::start(plan).await?;
    let mut cost = Self {
      nodes: fleet.len(),
      kind: plan.kind,
      ..Self::default()
    };
    let nodes = cost.nodes;
    let ready = |scrape: &Scrape| scrape.alive == nodes && scrape.revision == 2;
    cost.startup = wait_until(&fleet, started, ready).await;
    cost.startup_calls = fleet.platform.calls();
    sleep(SETTLE_TIME).await;
    let (calls, window) = (fleet.platform.calls(), Instant::now());
    let quiet = WindowCost::measure(&fleet, plan.window).await?;
    cost.call_rates = call_rates(calls, fleet.platform.calls(), window.elapsed());
    (cost.byte_rate, cost.peak_rate, cost.cpu_percent) =
      (quiet.byte_rate, quiet.peak_rate, quiet.cpu_percent);
    cost.memory_kib = fleet.usage()?.memory_kib as f64 / nodes as f64;
    cost.load_average = load_average();
    cost
      .measure_changes(&mut fleet, &quiet, plan.window)
      .await?;
    let (killed_at, others) = (Instant::now(), nodes - 1);
    fleet.kill();
    let dead = |scrape: &Scrape| scrape.dead == 1 && scrape.alive == others;
    cost.death_detection = wait_until(&fleet, killed_at, dead).await;
    fleet.stop().await;
    Ok(cost)
  }

  async fn measure_changes(
    &mut self,
    fleet: &mut ControlFleet,
    quiet: &WindowCost,
    window: Duration,
  ) -> Result<(), FleetError> {
    let before = UsageSnapshot::take(fleet).await?;
    let mut accepted = BTreeMap::new();
    let mut adopted = BTreeMap::new();
    let mut ticks = interval(CHANGE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for _ in 0..CHANGES {
      ticks.tick().await;
      let revision = fleet.preset.edit().await?;
      accepted.insert(revision.0, Instant::now());
      record_adoptions(&fleet.scrape().await, self.nodes, &accepted, &mut adopted);
    }
    let end = Instant::now() + ADOPTION_LIMIT * 2;
    while adopted.len() < accepted.len() && Instant::now() < end {
      sleep(CHANGE_INTERVAL / 5).await;
      record_adoptions(&fleet.scrape().await, self.nodes, &accepted, &mut adopted);
    }
    self.missed_changes = accepted.len() - adopted.len();
    self.adoption_times = adopted
      .iter()
      .map(|(revision, at)| at.saturating_duration_since(accepted[revision]))
      .collect();
    sleep(GAUGE_DELAY).await;
    let after = UsageSnapshot::take(fleet).await?;
    let linked = WindowCost::measure(fleet, window).await?;
    self.links = fleet.links()? as f64 / self.nodes as f64;
    (self.linked_rate, self.linked_cpu) = (linked.byte_rate, linked.cpu_percent);
    let seconds = (after.at - before.at).as_secs_f64();
    let nodes = self.nodes as f64;
    // Links open one after another, so the rate during the changes is midway between the two.
    let heartbeats = f64::midpoint(quiet.byte_rate, linked.byte_rate) * seconds;
    let bytes = (after.total() - before.total()) / nodes;
    self.change_bytes = (bytes - heartbeats) / f64::from(CHANGES);
    Ok(())
  }
}

/// Records the changes that all nodes have adopted. When a node adopted a later change before the
/// scrape, the time of the later one is taken, which is an upper bound.
fn record_adoptions(
  scrapes: &[Scrape],
  nodes: usize,
  accepted: &BTreeMap<u64, Instant>,
  adopted: &mut BTreeMap<u64, Instant>,
) {
  if scrapes.len() < nodes {
    return;
  }
  for revision in accepted.keys() {
    if !adopted.contains_key(revision)
      && scrapes.iter().all(|scrape| scrape.revision >= *revision)
      && let Some(last) = scrapes.iter().map(|scrape| scrape.adopted).max()
    {
      adopted.insert(*revision, last);
    }
  }
}

/// Waits until every node is `ready` and returns the time since `started`; `None` past the limit.
async fn wait_until(
  fleet: &ControlFleet,
  started: Instant,
  ready: impl Fn(&Scrape) -> bool,
) -> Option<Duration> {
  while started.elapsed() < CONVERGENCE_LIMIT {
    let scrapes = fleet.scrape().await;
    if scrapes.len() == fleet.len() && scrapes.iter().all(&ready) {
      return Some(started.elapsed());
    }
    sleep(CHANGE_INTERVAL).await;
  }
  None
}

fn call_rates(before: CallCounts, after: CallCounts, time: Duration) -> [f64; 3] {
  let counts = [
    after.gets - before.gets,
    after.puts - before.puts,
    after.watches - before.watches,
  ];
  counts.map(|count| count as f64 / time.as_secs_f64())
}

fn load_average() -> String {
  let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
  text
    .split_whitespace()
    .next()
    .unwrap_or_default()
    .to_owned()
}
