//! Announcements, calls and outgoing calls of the upstream beside the node.
//!
//! [`announce`] follows the life cycle of the upstream and publishes it as [`UpstreamView`];
//! [`Upstream`] calls it; [`egress`] listens for the calls that it makes.

#![expect(
  dead_code,
  clippy::unused_async,
  reason = "the signatures are published before their bodies"
)]

pub mod announce;
mod crash;
pub mod egress;
mod hint;
mod loopback;
mod phase;
mod upstream;
mod upstream_config;
mod upstream_view;
mod views;

pub use {
  crash::{Crash, CrashPart},
  hint::{Hint, Hints},
  loopback::LoopbackError,
  phase::Phase,
  upstream::Upstream,
  upstream_config::UpstreamConfig,
  upstream_view::UpstreamView,
  views::Views,
};
