//! Stand-in of the platform's key-value service.
//!
//! Serves the platform's protocol on a loopback port, in the process of the test, with the quotas
//! of the real service and faults that tests can inject.

mod call_counts;
mod database;
mod entry;
mod faults;
mod quota;
mod response;
mod server;

pub use call_counts::CallCounts;
pub use entry::Entry;
pub use faults::{Faults, Outage};
pub use quota::Quotas;
pub use server::{Platform, StoreCopy};

use {
  call_counts::Counters,
  database::{Database, WriteError},
  entry::Connection,
  faults::Delivery,
  quota::TokenBucket,
  response::{HttpResponse, empty_response, json_response, not_found, read_json},
  std::time::Duration,
};

/// Time between checks for an outage while a watch waits or a call hangs, and for ended leases.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Largest value, bytes.
const MAX_VALUE: usize = 1 << 20;

/// Largest body of a call, bytes: one value in base64 and the JSON around it.
const MAX_BODY: usize = MAX_VALUE / 3 * 4 + 4096;
