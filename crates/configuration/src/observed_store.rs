use {
  crate::{
    Changes, Expect, Lease, LeaseId, LeaseStore, Listing, Store, StoreError, StoreFuture, Versioned,
  },
  bytes::Bytes,
  std::{
    fmt::{self, Debug, Formatter},
    sync::Arc,
    time::Duration,
  },
};

/// Store that passes the kind (`get`, `put`, `lease`, `watch`) and result (`ok`, `conflict`,
/// `unavailable`, `timed-out`, `too-large`, `quota`, `compacted`, `lease-ended`) of each call to an
/// observer, for metrics.
pub struct ObservedStore {
  store: Arc<dyn LeaseStore>,
  observe: Box<dyn Fn(&'static str, &'static str) + Send + Sync>,
}

impl ObservedStore {
  /// Observes the calls to `store`.
  pub fn new(
    store: Arc<dyn LeaseStore>,
    observe: impl Fn(&'static str, &'static str) + Send + Sync + 'static,
  ) -> Self {
    Self {
      store,
      observe: Box::new(observe),
    }
  }

  fn report<'a, T: Send + 'a>(
    &'a self,
    kind: &'static str,
    call: StoreFuture<'a, T>,
  ) -> StoreFuture<'a, T> {
    Box::pin(async move {
      let result = call.await;
      (self.observe)(kind, result_name(result.as_ref().err()));
      result
    })
  }
}

impl Debug for ObservedStore {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    f.debug_tuple("ObservedStore").field(&self.store).finish()
  }
}

impl Store for ObservedStore {
  fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Versioned>> {
    self.report("get", self.store.get(key))
  }

  fn put<'a>(&'a self, key: &'a str, value: Bytes, expect: Expect) -> StoreFuture<'a, u64> {
    self.report("put", self.store.put(key, value, expect))
  }

  fn watch<'a>(
    &'a self,
    key: &'a str,
    after: u64,
    wait: Duration,
  ) -> StoreFuture<'a, Option<Versioned>> {
    self.report("watch", self.store.watch(key, after, wait))
  }
}

impl LeaseStore for ObservedStore {
  fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Listing> {
    self.report("get", self.store.list(prefix))
  }

  fn changes<'a>(
    &'a self,
    prefix: &'a str,
    after: u64,
    wait: Duration,
  ) -> StoreFuture<'a, Changes> {
    self.report("watch", self.store.changes(prefix, after, wait))
  }

  fn grant(&self, ttl: Duration) -> StoreFuture<'_, Lease> {
    self.report("lease", self.store.grant(ttl))
  }

  fn renew(&self, lease: LeaseId) -> StoreFuture<'_, ()> {
    self.report("lease", self.store.renew(lease))
  }

  fn end(&self, lease: LeaseId) -> StoreFuture<'_, ()> {
    self.report("lease", self.store.end(lease))
  }

  fn put_leased<'a>(
    &'a self,
    key: &'a str,
    value: Bytes,
    expect: Expect,
    lease: LeaseId,
  ) -> StoreFuture<'a, u64> {
    self.report("put", self.store.put_leased(key, value, expect, lease))
  }
}

const fn result_name(error: Option<&StoreError>) -> &'static str {
  match error {
    None => "ok",
    Some(StoreError::Conflict { .. }) => "conflict",
    Some(StoreError::Unavailable { .. }) => "unavailable",
    Some(StoreError::TimedOut) => "timed-out",
    Some(StoreError::TooLarge) => "too-large",
    Some(StoreError::Quota) => "quota",
    Some(StoreError::Compacted) => "compacted",
    Some(StoreError::LeaseEnded) => "lease-ended",
  }
}
