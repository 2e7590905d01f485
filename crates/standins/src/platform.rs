//! Stand-in of the platform's key-value service.
//!
//! Serves the platform's protocol on a loopback port, in the process of the test, with the quotas of the real service and faults that tests switch.

mod calls;
mod data;
mod faults;
mod quota;
mod server;

pub use calls::Calls;
pub use faults::{Faults, Outage};
pub use quota::Quotas;
pub use server::Platform;

use {
  calls::Counters,
  data::{Data, Refused},
  faults::Answered,
  quota::Bucket,
};
