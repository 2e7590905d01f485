//! Stand-in of callers: a seeded open-loop load generator.
//!
//! Requests are sent at the times that the rate trace gives, even while earlier ones are in flight,
//! so that a slow system meets the same demand as a fast one.

mod attempt;
mod class_counts;
mod class_load;
mod generator;
mod load_config;
mod load_report;
mod progress;
mod sample;

pub use {
  attempt::{Attempt, AttemptOutcome},
  class_counts::ClassCounts,
  class_load::ClassLoad,
  generator::run,
  load_config::{LoadConfig, Segment},
  load_report::LoadReport,
  progress::Progress,
  sample::Sample,
};
