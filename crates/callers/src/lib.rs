//! The HTTP listener for callers.
//!
//! `docs/callers.md` describes what a caller sends and receives. The server itself is shared with
//! the egress listener and lives in `cactusyoke-http`.

mod serve;

pub use {
  cactusyoke_http::{
    CallHandler, CallerRequest, HeaderNames, Limits, OUTCOME_HEADER, REASON_HEADER, Refusal,
  },
  serve::serve,
};
