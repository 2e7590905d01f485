//! Stand-in of the platform's key-value service.
//!
//! Serves the platform's protocol on a loopback port, in the process of the test, with the quotas of
//! the real service and faults that tests switch.

mod call_counts;
mod data;
mod faults;
mod quota;
mod reply;
mod server;

pub use call_counts::CallCounts;
pub use faults::{Faults, Outage};
pub use quota::Quotas;
pub use server::Platform;

use {
  call_counts::Counters,
  data::{Data, Refused},
  faults::Answered,
  quota::Bucket,
  reply::{Reply, empty, json, not_found, read},
};

/// Largest value, bytes.
const MAX_VALUE: usize = 1 << 20;

/// Largest body of a call, bytes: one value in base64 and its frame.
const MAX_BODY: usize = MAX_VALUE / 3 * 4 + 4096;
