//! The demonstration and the measurements: stand-ins, nodes and load on loopback.

mod args;
mod baseline;
mod deployment;
mod fleet;
mod measure;
mod report;
mod run;
mod run_result;

pub use {
  args::Args,
  deployment::{Deployment, Service},
  fleet::{Fleet, FleetError},
  measure::{
    ControlCost, ControlPlan, Latency, NodeCounts, NodeKind, measure_control, measure_latency,
  },
  report::print,
  run::run,
  run_result::{ClassResult, RunResult},
};
