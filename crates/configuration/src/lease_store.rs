use {
  crate::{Expect, Store, StoreFuture},
  bytes::Bytes,
  std::{
    fmt::{self, Display, Formatter},
    time::Duration,
  },
};

/// Identifier of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId {
  /// Era of the store in which the lease was granted; ids are unique within it.
  pub era: u64,
  /// Id within the era.
  pub id: u64,
}

impl Display for LeaseId {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    self.id.fmt(f)
  }
}

/// Granted lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
  /// Identifier.
  pub id: LeaseId,
  /// Time to live: how long after its last renewal the lease ends and its keys are removed.
  pub ttl: Duration,
}

/// Key, value and version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
  /// Key.
  pub key: String,
  /// Value.
  pub value: Bytes,
  /// Version of the key.
  pub version: u64,
}

/// Change to one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
  /// The key was written.
  Put(Item),
  /// The key was removed by a call, or because its lease ended.
  Removed {
    /// Key.
    key: String,
    /// Version of the removal.
    version: u64,
  },
}

impl Event {
  /// Key that changed.
  pub fn key(&self) -> &str {
    match self {
      Self::Put(item) => &item.key,
      Self::Removed { key, .. } => key,
    }
  }
}

/// Keys with a common prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
  /// Items.
  pub items: Vec<Item>,
  /// Version of the store after which to watch for changes.
  pub store_version: u64,
}

/// Changes after a version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
  /// Changes, oldest first; empty if the wait has passed.
  pub events: Vec<Event>,
  /// Version of the store after which to continue.
  pub store_version: u64,
}

/// Store with prefix listings and leases, through which nodes discover each other.
pub trait LeaseStore: Store {
  /// Reads all keys that begin with `prefix`. Not a snapshot: changes after
  /// [`Listing::store_version`] may already be in it.
  fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Listing>;

  /// Waits for changes to keys that begin with `prefix`, after a version of the store.
  fn changes<'a>(&'a self, prefix: &'a str, after: u64, wait: Duration)
  -> StoreFuture<'a, Changes>;

  /// Grants a lease.
  fn grant(&self, ttl: Duration) -> StoreFuture<'_, Lease>;

  /// Renews a lease.
  fn renew(&self, lease: LeaseId) -> StoreFuture<'_, ()>;

  /// Ends a lease and removes its keys.
  fn end(&self, lease: LeaseId) -> StoreFuture<'_, ()>;

  /// Writes a key that is removed when the lease ends, if the precondition holds.
  fn put_leased<'a>(
    &'a self,
    key: &'a str,
    value: Bytes,
    expect: Expect,
    lease: LeaseId,
  ) -> StoreFuture<'a, u64>;
}
