//! The demonstration: stand-ins, nodes and load on loopback, in one process.

mod args;
mod baseline;
mod deployment;
mod fleet;
mod measure;
mod outcome;
mod report;
mod run;

pub use {
  args::Args,
  deployment::{Deployment, Service},
  fleet::{Fleet, FleetError},
  measure::{Control, ControlPlan, Latency, NodeKind, Sizes, measure_control, measure_latency},
  outcome::{ClassOutcome, Outcome},
  report::print,
  run::run,
};
