//! Connects a node to its upstream: the server process that runs on the same machine.
//!
//! [`announce`] receives the announcements of the upstream, tracks its lifecycle and publishes the
//! state as [`UpstreamView`]. [`Upstream`] is the HTTP client that sends calls to the upstream.
//! [`egress`] accepts the calls that the upstream itself makes.

pub mod announce;
mod answer_body;
mod call_exchange;
mod call_timer;
mod connection_state;
mod driver;
pub mod egress;
mod head_scanner;
mod hint;
mod http_connection;
mod loopback;
mod lost_connection;
mod phase;
mod pool;
mod pooled_connection;
mod request_body;
mod silence_detector;
mod stated_pace;
mod stated_rate;
mod tcp_liveness;
mod tracked_io;
mod upstream;
mod upstream_config;
mod upstream_view;
mod view_handle;

pub use {
  hint::{Hint, Hints},
  loopback::LoopbackError,
  lost_connection::{AnswerPart, LostConnection},
  phase::Phase,
  silence_detector::SilenceDetector,
  stated_rate::StatedRate,
  upstream::Upstream,
  upstream_config::UpstreamConfig,
  upstream_view::UpstreamView,
  view_handle::ViewHandle,
};

use {
  answer_body::AnswerBody,
  call_exchange::CallExchange,
  call_timer::{CallTimer, Expiry},
  connection_state::ConnectionState,
  driver::Driver,
  pool::Pool,
  pooled_connection::PooledConnection,
  request_body::RequestBody,
  tcp_liveness::TcpLiveness,
  tracked_io::TrackedIo,
};
