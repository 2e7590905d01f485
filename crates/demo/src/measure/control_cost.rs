//! Cost of control without calls, by number of nodes.

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

/// Longest wait for all nodes to know each other, or for a killed one to be known as dead.
const LIMIT: Duration = Duration::from_secs(30);
/// Quiet time after the start.
const SETTLE: Duration = Duration::from_secs(3);
/// Changes of the configuration, and the time between two.
const CHANGES: u32 = 20;
const PAUSE: Duration = Duration::from_millis(250);
/// Time after which the gauges of a node, which it updates every second, hold all that went before.
const GAUGES: Duration = Duration::from_millis(1_500);
/// Time in which all nodes must have adopted a change.
const BOUND: Duration = Duration::from_secs(4);

/// Figures for one number of nodes. Rates are for each node, of control bytes sent and received.
#[derive(Clone, Debug, Default)]
pub struct ControlCost {
  /// Nodes.
  pub nodes: usize,
  /// How they ran.
  pub kind: NodeKind,
  /// Load average of the machine, over one minute.
  pub load_average: String,
  /// Time until all knew each other and had the preset; `None` when that took too long.
  pub startup: Option<Duration>,
  /// Platform calls of the start.
  pub startup_calls: CallCounts,
  /// Bytes a second.
  pub byte_rate: f64,
  /// Bytes a second of the node with the most.
  pub peak_rate: f64,
  /// Percent of a core.
  pub cpu_percent: f64,
  /// Resident memory, KiB.
  pub memory_kib: f64,
  /// Platform calls of all nodes, a second, by kind: reads, writes, watches.
  pub call_rates: [f64; 3],
  /// Open links of each node, in one direction, after the changes.
  pub links: f64,
  /// Bytes a second with these links open.
  pub linked_rate: f64,
  /// Percent of a core with these links open.
  pub linked_cpu: f64,
  /// Bytes of one change, heartbeats of the links that it opened left out.
  pub change_bytes: f64,
  /// Time from the acceptance of a change to its adoption on all nodes, one for each change.
  pub adoption: Vec<Duration>,
  /// Changes that were not adopted everywhere.
  pub missed_changes: usize,
  /// Time until a killed node was known as dead everywhere; `None` when that took too long.
  pub death_detection: Option<Duration>,
}

/// Measures each number of nodes in turn and prints a table with slopes.
pub async fn measure_control(sizes: &NodeCounts, services: u16) -> Result<(), FleetError> {
  let mut rows = Vec::new();
  for size in &sizes.0 {
    let row = ControlCost::measure(ControlPlan::new(*size, services)).await?;
    control_table::print_row(&row);
    rows.push(row);
  }
  control_table::print(&rows);
  Ok(())
}

/// What the nodes have used up to a moment.
struct Snapshot {
  at: Instant,
  time: Duration,
  /// Bytes of each node, sent and received.
  bytes: Vec<f64>,
}

impl Snapshot {
  async fn take(fleet: &ControlFleet) -> Result<Self, FleetError> {
    let scrapes = fleet.scrape().await;
    Ok(Self {
      at: Instant::now(),
      // After the scrape, so that a window which begins here does not pay for it.
      time: fleet.usage()?.time,
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

/// Cost of each node in one window.
struct Window {
  bytes: f64,
  most: f64,
  core: f64,
}

impl Window {
  async fn measure(fleet: &ControlFleet, length: Duration) -> Result<Self, FleetError> {
    let before = Snapshot::take(fleet).await?;
    let begun = Instant::now();
    sleep(length).await;
    let time = fleet.usage()?.time;
    let elapsed = begun.elapsed().as_secs_f64();
    let after = Snapshot::take(fleet).await?;
    let seconds = (after.at - before.at).as_secs_f64();
    let nodes = fleet.len() as f64;
    let pairs = before.bytes.iter().zip(&after.bytes);
    Ok(Self {
      bytes: (after.total() - before.total()) / seconds / nodes,
      most: pairs
        .map(|(before, after)| (after - before) / seconds)
        .fold(0.0, f64::max),
      core: time.saturating_sub(before.time).as_secs_f64() / elapsed / nodes * 100.0,
    })
  }
}

impl ControlCost {
  /// Measures one number of nodes.
  pub async fn measure(plan: ControlPlan) -> Result<Self, FleetError> {
    let begun = Instant::now();
    let mut fleet = ControlFleet::start(plan).await?;
    let mut row = Self {
      nodes: fleet.len(),
      kind: plan.kind,
      ..Self::default()
    };
    let nodes = row.nodes;
    let ready = |scrape: &Scrape| scrape.alive == nodes && scrape.revision == 2;
    row.startup = until(&fleet, begun, ready).await;
    row.startup_calls = fleet.platform.calls();
    sleep(SETTLE).await;
    let (calls, window) = (fleet.platform.calls(), Instant::now());
    let quiet = Window::measure(&fleet, plan.window).await?;
    row.call_rates = rates(calls, fleet.platform.calls(), window.elapsed());
    (row.byte_rate, row.peak_rate, row.cpu_percent) = (quiet.bytes, quiet.most, quiet.core);
    row.memory_kib = fleet.usage()?.memory as f64 / nodes as f64;
    row.load_average = load();
    row.changes(&mut fleet, &quiet, plan.window).await?;
    let (last, others) = (Instant::now(), nodes - 1);
    fleet.kill();
    let dead = |scrape: &Scrape| scrape.dead == 1 && scrape.alive == others;
    row.death_detection = until(&fleet, last, dead).await;
    fleet.stop().await;
    Ok(row)
  }

  async fn changes(
    &mut self,
    fleet: &mut ControlFleet,
    quiet: &Window,
    window: Duration,
  ) -> Result<(), FleetError> {
    let before = Snapshot::take(fleet).await?;
    let mut accepted = BTreeMap::new();
    let mut adopted = BTreeMap::new();
    let mut ticks = interval(PAUSE);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for _ in 0..CHANGES {
      ticks.tick().await;
      let revision = fleet.preset.edit().await?;
      accepted.insert(revision.0, Instant::now());
      observe(&fleet.scrape().await, self.nodes, &accepted, &mut adopted);
    }
    let end = Instant::now() + BOUND * 2;
    while adopted.len() < accepted.len() && Instant::now() < end {
      sleep(PAUSE / 5).await;
      observe(&fleet.scrape().await, self.nodes, &accepted, &mut adopted);
    }
    self.missed_changes = accepted.len() - adopted.len();
    self.adoption = adopted
      .iter()
      .map(|(revision, at)| at.saturating_duration_since(accepted[revision]))
      .collect();
    sleep(GAUGES).await;
    let after = Snapshot::take(fleet).await?;
    let linked = Window::measure(fleet, window).await?;
    self.links = fleet.links()? as f64 / self.nodes as f64;
    (self.linked_rate, self.linked_cpu) = (linked.bytes, linked.core);
    let seconds = (after.at - before.at).as_secs_f64();
    let nodes = self.nodes as f64;
    // Links open one after another, so their heartbeats count for half of the time.
    let heartbeats = f64::midpoint(quiet.bytes, linked.bytes) * seconds;
    let spent = (after.total() - before.total()) / nodes;
    self.change_bytes = (spent - heartbeats) / f64::from(CHANGES);
    Ok(())
  }
}

/// Notes the changes that all nodes have adopted. A change that another one followed before the
/// scrape counts as adopted when the later one was, which is an upper bound.
fn observe(
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

/// Waits until every node is `ready`; the time since `begun`.
async fn until(
  fleet: &ControlFleet,
  begun: Instant,
  ready: impl Fn(&Scrape) -> bool,
) -> Option<Duration> {
  while begun.elapsed() < LIMIT {
    let scrapes = fleet.scrape().await;
    if scrapes.len() == fleet.len() && scrapes.iter().all(&ready) {
      return Some(begun.elapsed());
    }
    sleep(PAUSE).await;
  }
  None
}

fn rates(before: CallCounts, after: CallCounts, time: Duration) -> [f64; 3] {
  let counts = [
    after.gets - before.gets,
    after.puts - before.puts,
    after.watches - before.watches,
  ];
  counts.map(|count| count as f64 / time.as_secs_f64())
}

fn load() -> String {
  let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
  text
    .split_whitespace()
    .next()
    .unwrap_or_default()
    .to_owned()
}
