//! Announcements, calls and outgoing calls of the upstream beside the node.
//!
//! [`announce`] follows the life cycle of the upstream and publishes it as [`UpstreamView`];
//! [`Upstream`] calls it; [`egress`] listens for the calls that it makes.

pub mod announce;
mod answer_body;
mod call_run;
mod call_watch;
mod connection_state;
mod crash;
mod driver;
pub mod egress;
mod hint;
mod idle;
mod lease;
mod loopback;
mod phase;
mod pool;
mod sent_body;
mod silence_detector;
mod tracked_io;
mod upstream;
mod upstream_config;
mod upstream_view;
mod views;

pub use {
  crash::{Crash, CrashPart},
  hint::{Hint, Hints},
  loopback::LoopbackError,
  phase::Phase,
  silence_detector::SilenceDetector,
  upstream::Upstream,
  upstream_config::UpstreamConfig,
  upstream_view::UpstreamView,
  views::Views,
};

use {
  answer_body::AnswerBody,
  call_run::CallRun,
  call_watch::{CallWatch, Expiry},
  connection_state::ConnectionState,
  driver::Driver,
  lease::Lease,
  pool::Pool,
  sent_body::SentBody,
  tracked_io::TrackedIo,
};
