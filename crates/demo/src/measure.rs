//! Measurements with node processes on loopback.

mod latency;
mod listeners;
mod node_process;

pub use latency::{Latency, measure_latency};
pub(crate) use listeners::Listeners;

use node_process::{NodeProcess, Usage};
