//! Stand-in of the platform's key-value service.
//!
//! Serves the protocol that `cactusyoke_platform::HttpStore` documents, on a loopback port and
//! in the process of the test, with the quotas of the real service and faults that tests switch.

mod calls;
mod faults;
mod history;
mod quota;
mod server;
mod wire;

pub use calls::Calls;
pub use faults::{Faults, Outage};
pub use quota::Quotas;
pub use server::Platform;

use {
  calls::Counters,
  faults::Answered,
  history::{Expectation, History},
  quota::Bucket,
  wire::{Reply, expectation, number, parameter, reply},
};
