//! Measurements of nodes on loopback.

mod control_cost;
mod control_fleet;
mod control_plan;
mod control_preset;
mod control_table;
mod latency;
mod listeners;
mod node_counts;
mod node_process;
mod scrape;

pub use control_cost::{ControlCost, measure_control};
pub use control_plan::{ControlPlan, NodeKind};
pub use latency::{Latency, measure_latency};
pub(crate) use listeners::Listeners;
pub use node_counts::NodeCounts;

use {
  control_fleet::ControlFleet,
  control_preset::ControlPreset,
  node_process::{NodeProcess, Usage},
  scrape::Scrape,
};
