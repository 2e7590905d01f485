//! The HTTP/1.1 server and body adapters that the callers' listener and the egress listener share.
//!
//! The packages for callers and for upstreams do not depend on each other, so what both need
//! lives here: reading requests into [`CallerRequest`], writing answers and failures, removing
//! hop-by-hop headers, and checking body lengths.

mod acceptor;
mod answer_response;
mod call_handler;
mod caller_request;
mod checked_body;
mod connection;
mod connection_memory;
mod departure;
mod failure_response;
mod header_names;
mod hop_headers;
mod limits;
mod linger;
mod received_body;
mod refusal;
mod sent_body;
mod serve;
mod stall_timer;
mod timeout_stream;

pub use call_handler::CallHandler;
pub use caller_request::CallerRequest;
pub use checked_body::CheckedBody;
pub use failure_response::{OUTCOME_HEADER, REASON_HEADER};
pub use header_names::HeaderNames;
pub use hop_headers::remove_hop_headers;
pub use limits::Limits;
pub use refusal::Refusal;
pub use serve::serve;

use {
  acceptor::Acceptor,
  answer_response::answer_response,
  connection::Connection,
  connection_memory::ConnectionMemory,
  departure::Departure,
  failure_response::failure_response,
  linger::linger,
  received_body::ReceivedBody,
  sent_body::SentBody,
  stall_timer::StallTimer,
  timeout_stream::{ReturnedHalf, TimeoutStream},
};
