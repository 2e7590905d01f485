//! Client of the platform's key-value service and the configuration kept in it.
//!
//! The platform is the only place that keeps anything. [`Store`] is the interface to it and
//! [`HttpStore`] the client that nodes use. A node stays able to work when no call to the platform
//! succeeds, so every call has a time limit and every failure says whether a write may have taken
//! effect.

mod http_store;
mod pool;
mod store;
mod store_error;

pub use http_store::{HttpStore, StoreLimits};
pub use store::{Expect, Lease, Store, StoreFuture, Versioned};
pub use store_error::StoreError;

use pool::Pool;
