//! Output of the cost of control traffic: one block for each number of nodes, then slopes over
//! nodes and links.

use {
  super::{ControlCost, NodeKind},
  cactusyoke_standins::platform::CallCounts,
  std::time::Duration,
};

/// Prints the costs of one number of nodes as soon as they are measured, to show progress.
pub(crate) fn print_cost(cost: &ControlCost) {
  let mut times = cost.adoption_times.clone();
  times.sort_unstable();
  let median = times.get(times.len() / 2).copied();
  println!(
    "nodes={} kind={:?} load={}",
    cost.nodes, cost.kind, cost.load_average
  );
  println!(
    "  start_s={} start_calls: {}",
    seconds(cost.startup),
    calls(&cost.startup_calls)
  );
  println!(
    "  quiet: bytes_per_s={:.0} most_bytes_per_s={:.0} core_percent={:.3} memory_kib={:.0}",
    cost.byte_rate, cost.peak_rate, cost.cpu_percent, cost.memory_kib
  );
  let [gets, puts, watches] = cost.call_rates;
  println!("  platform calls/s: gets={gets:.2} puts={puts:.2} watches={watches:.2}");
  println!(
    "  changes: adoption_s_median={} adoption_s_max={} missed={} bytes_per_change={:.0}",
    seconds(median),
    seconds(times.last().copied()),
    cost.missed_changes,
    cost.change_bytes
  );
  println!(
    "  after changes: links_per_node={:.1} bytes_per_s={:.0} core_percent={:.3}",
    cost.links, cost.linked_rate, cost.linked_cpu
  );
  println!(
    "  killed node known as dead_s={}",
    seconds(cost.death_detection)
  );
}

/// Prints least-squares fits of the costs over the number of nodes and of links.
pub(crate) fn print_slopes(costs: &[ControlCost]) {
  type Value = fn(&ControlCost) -> f64;
  let values: [(&str, Value); 6] = [
    ("bytes/s", |cost| cost.byte_rate),
    ("most bytes/s", |cost| cost.peak_rate),
    ("core %", |cost| cost.cpu_percent),
    ("memory KiB", |cost| cost.memory_kib),
    ("bytes/change", |cost| cost.change_bytes),
    ("adoption max s", |cost| {
      let longest = cost.adoption_times.iter().max().copied();
      longest.unwrap_or_default().as_secs_f64()
    }),
  ];
  println!();
  println!("{:<16} {:>12} {:>14}", "least squares", "at 0", "per node");
  // Processor time and memory of nodes in this process are not comparable with those of processes.
  let processes = costs
    .iter()
    .filter(|cost| cost.kind == NodeKind::Process)
    .cloned()
    .collect::<Vec<_>>();
  for (name, value) in values {
    let costs = match name {
      "core %" | "memory KiB" => &processes,
      _ => costs,
    };
    if let Some((intercept, slope)) = fit(costs, |cost| cost.nodes as f64, value) {
      println!("{name:<16} {intercept:>12.3} {slope:>14.5}");
    }
  }
  println!("{:<16} {:>12} {:>14}", "", "at 0", "per link");
  let values: [(&str, Value); 2] = [
    ("bytes/s", |cost| cost.linked_rate),
    ("core %", |cost| cost.linked_cpu),
  ];
  for (name, value) in values {
    if let Some((intercept, slope)) = fit(&processes, |cost| cost.links, value) {
      println!("{name:<16} {intercept:>12.3} {slope:>14.5}");
    }
  }
}

/// Intercept and slope of `y` over `x` by least squares; `None` without two different `x`.
fn fit(
  costs: &[ControlCost],
  x: impl Fn(&ControlCost) -> f64,
  y: impl Fn(&ControlCost) -> f64,
) -> Option<(f64, f64)> {
  let count = costs.len() as f64;
  let mean = |value: &dyn Fn(&ControlCost) -> f64| costs.iter().map(value).sum::<f64>() / count;
  let (mean_x, mean_y) = (mean(&x), mean(&y));
  let variance = costs
    .iter()
    .map(|cost| (x(cost) - mean_x).powi(2))
    .sum::<f64>();
  if costs.len() < 2 || variance == 0.0 {
    return None;
  }
  let covariance = costs
    .iter()
    .map(|cost| (x(cost) - mean_x) * (y(cost) - mean_y))
    .sum::<f64>();
  // Neither sum is divided by the count, which cancels out.
  let slope = covariance / variance;
  Some((mean_y - slope * mean_x, slope))
}

fn seconds(time: Option<Duration>) -> String {
  time.map_or_else(
    || "none".to_owned(),
    |time| format!("{:.2}", time.as_secs_f64()),
  )
}

fn calls(calls: &CallCounts) -> String {
  format!(
    "gets={} puts={} watches={} leases={} refused={} connections={}",
    calls.gets, calls.puts, calls.watches, calls.leases, calls.refused, calls.connections
  )
}
