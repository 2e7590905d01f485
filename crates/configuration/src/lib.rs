//! State kept in the platform's store: the configuration with its audit trail, and the directory
//! of nodes.
//!
//! Only the platform persists state. [`Store`] and [`LeaseStore`] are the interfaces to it; the
//! platform package has the client. A node must keep working while every call to the platform
//! fails, so each call has a timeout and each error tells whether a write may have taken effect.

mod audit;
mod audit_filter;
mod change_request;
mod change_writer;
mod configuration;
mod configuration_error;
mod contacts;
mod content_hash;
mod feed;
mod head;
mod lease_store;
mod observed_store;
mod offer_result;
mod platform_status;
mod presets;
mod reader;
mod record;
mod registration;
mod replica;
mod retry_limits;
mod rosters;
mod snapshot;
mod store;
mod store_error;
mod watcher;
mod watcher_actor;

pub use audit_filter::AuditFilter;
pub use change_request::{ChangeRequest, RequestedEdit};
pub use configuration::Configuration;
pub use configuration_error::ConfigurationError;
pub use contacts::Contacts;
pub use content_hash::ContentHash;
pub use feed::{Feed, FeedSink};
pub use head::{Head, PresetRef};
pub use lease_store::{Changes, Event, Item, Lease, LeaseId, LeaseStore, Listing};
pub use observed_store::ObservedStore;
pub use offer_result::OfferResult;
pub use platform_status::PlatformStatus;
pub use presets::Presets;
pub use record::{Record, RecordedEdit};
pub use registration::Registration;
pub use retry_limits::RetryLimits;
pub use rosters::Rosters;
pub use snapshot::{ConfigUpdate, Snapshot};
pub use store::{Expect, Store, StoreFuture, Versioned};
pub use store_error::StoreError;
pub use watcher::Watcher;

use {
  audit::Audit,
  change_writer::ChangeWriter,
  configuration::{HEAD_KEY, corrupt_head, decode_head},
  head::{MAX_HEAD_CHANGES, MOVE_BATCH},
  reader::{ReadOutcome, Reader},
  replica::Replica,
  watcher_actor::{Arguments, Shared, WatcherActor, WatcherMessage},
};
