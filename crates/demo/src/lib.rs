//! The demonstration: stand-ins, nodes and load on loopback, in one process.

mod args;
mod baseline;
mod deployment;
mod fleet;
mod outcome;
mod report;
mod run;

pub use {
  args::Args,
  deployment::{Deployment, Service},
  fleet::{Fleet, FleetError},
  outcome::{ClassOutcome, Outcome},
  report::print,
  run::run,
};
