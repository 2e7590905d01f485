//! Stand-in of an upstream: an HTTP server in this process with a bounded number of slots, a
//! service time, calls to other services, and faults that tests can inject.
//!
//! Special paths:
//!
//! - `/echo` streams the request body back, with its hash as a trailer;
//! - `/size/N` sends N bytes with their hash as a trailer;
//! - `/cut/N` sends N bytes, then closes the connection;
//! - `/health` and `/load` report health and requests in flight, or what [`Faults`] sets instead.
//!
//! Every other path reads the request body and answers with its length and hash.

mod announcer;
mod bodies;
mod client;
mod config;
mod faults;
mod received_response;
mod request_handler;
mod run_log;
mod server;
mod service_time;
mod standin;

pub use {
  bodies::{HASH_HEADER, pattern, pattern_body, pattern_hash, truncated_body},
  client::{Client, ClientError},
  config::{Config, NestedCall},
  faults::Faults,
  received_response::ReceivedResponse,
  run_log::{RunCounts, RunLog, TAG_HEADER},
  service_time::ServiceTime,
  standin::Upstream,
};
