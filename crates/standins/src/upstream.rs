//! Stand-in of an upstream: an HTTP server in this process with a bounded number of slots, a
//! service time, calls to other services, and faults that tests switch.
//!
//! Paths with a meaning of their own:
//!
//! - `/echo` sends the request body back while it arrives, with its hash as a trailer;
//! - `/size/N` sends N bytes with their hash as a trailer;
//! - `/cut/N` sends N bytes, then closes the connection;
//! - `/health` and `/load` report what [`Faults`] lets them.
//!
//! Every other path reads the request body and answers with its length and hash.

mod announcer;
mod bodies;
mod client;
mod config;
mod faults;
mod received;
mod request_work;
mod runs;
mod server;
mod service_time;
mod standin;

pub use {
  bodies::{HASH_HEADER, pattern, pattern_body, pattern_hash},
  client::{Client, ClientError},
  config::{Child, Config},
  faults::Faults,
  received::Received,
  runs::{Runs, TAG_HEADER, TagRuns},
  service_time::ServiceTime,
  standin::Upstream,
};
