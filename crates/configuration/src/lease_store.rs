use {
  crate::{Expect, Store, StoreFuture},
  bytes::Bytes,
  std::{
    fmt::{self, Display, Formatter},
    time::Duration,
  },
};

/// Number of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

impl Display for LeaseId {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    self.0.fmt(f)
  }
}

/// Lease as it was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
  /// Number.
  pub id: LeaseId,
  /// Time after the last renewal at which the keys of the lease are removed.
  pub ttl: Duration,
}

/// Key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
  /// Key.
  pub key: String,
  /// Value.
  pub value: Bytes,
  /// Version of the key.
  pub version: u64,
}

/// Change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
  /// The key was written.
  Put(Item),
  /// The key was removed, by a call or at the end of its lease.
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
  /// Version of the store from which changes are to be watched.
  pub store_version: u64,
}

/// Changes after a version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
  /// Changes, oldest first; none when the wait has passed.
  pub events: Vec<Event>,
  /// Version of the store from which to go on.
  pub store_version: u64,
}

/// Store with prefixes and leases, in which nodes find each other.
pub trait LeaseStore: Store {
  /// Reads all keys that begin with `prefix`. Not a snapshot: changes after
  /// [`Listing::store_version`] may already be in it.
  fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Listing>;

  /// Waits for changes of keys that begin with `prefix`, after a version of the store.
  fn changes<'a>(&'a self, prefix: &'a str, after: u64, wait: Duration)
  -> StoreFuture<'a, Changes>;

  /// Takes a lease.
  fn grant(&self, ttl: Duration) -> StoreFuture<'_, Lease>;

  /// Renews a lease.
  fn renew(&self, lease: LeaseId) -> StoreFuture<'_, ()>;

  /// Ends a lease and removes its keys.
  fn end(&self, lease: LeaseId) -> StoreFuture<'_, ()>;

  /// Writes a key that is removed with the lease, where it matches the expectation.
  fn put_leased<'a>(
    &'a self,
    key: &'a str,
    value: Bytes,
    expect: Expect,
    lease: LeaseId,
  ) -> StoreFuture<'a, u64>;
}
