//! Keeps one key in the store for as long as this process runs.

use {
  crate::{Expect, LeaseId, LeaseStore, StoreError, feed::backoff},
  bytes::Bytes,
  std::{
    sync::{
      Arc,
      atomic::{AtomicU64, Ordering},
    },
    time::Duration,
  },
  tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep, sleep_until},
  },
};

/// Renewals within the time to live of a lease, so that two in a row may fail.
const RENEWALS_PER_TTL: u32 = 3;

/// Wait after a change of the value, so that changes in quick succession are written at once.
const COALESCING_WAIT: Duration = Duration::from_millis(100);

/// Key under a lease. It is rewritten when its value changes, when its lease has ended because the
/// process was paused or disconnected, and when another writer has removed or replaced it.
#[derive(Debug)]
pub struct Registration {
  store: Arc<dyn LeaseStore>,
  key: String,
  ttl: Duration,
  lease: Option<LeaseId>,
  /// Version of the key when last written or read; `None` if it has no value.
  version: Option<u64>,
  /// Version of the last write; zero before the first.
  latest: Arc<AtomicU64>,
  /// The current value is in the store, as far as is known.
  written: bool,
  renewed_at: Instant,
}

impl Registration {
  /// Registration under a lease that ends `ttl` after its last renewal.
  pub fn new(store: Arc<dyn LeaseStore>, key: String, ttl: Duration) -> Self {
    Self {
      store,
      key,
      ttl,
      lease: None,
      version: None,
      latest: Arc::default(),
      written: false,
      renewed_at: Instant::now(),
    }
  }

  /// Version of the last write of this process; zero before the first.
  pub fn latest_version(&self) -> Arc<AtomicU64> {
    Arc::clone(&self.latest)
  }

  /// Keeps the key in the store until the sender of `value` is dropped, then removes it. The caller
  /// notifies `removed` when it sees that the key is gone from the store, or has the value of another
  /// writer.
  pub async fn run(mut self, mut value: watch::Receiver<Bytes>, removed: Arc<Notify>) {
    let mut failures = 0_u32;
    loop {
      let current = value.borrow_and_update().clone();
      match self.ensure_written(current).await {
        Ok(()) => failures = 0,
        Err(error) => {
          failures = failures.saturating_add(1);
          if failures == 1 {
            tracing::warn!(event = "registration_failed", key = self.key, %error);
          }
          let backoff = backoff(failures, &error);
          tokio::select! {
            () = sleep(backoff) => {}
            changed = value.changed() => if changed.is_err() { break },
          }
          continue;
        }
      }
      tokio::select! {
        () = sleep_until(self.renewed_at + self.ttl / RENEWALS_PER_TTL) => {}
        () = removed.notified() => self.mark_removed(),
        changed = value.changed() => match changed {
          Ok(()) => {
            self.written = false;
            sleep(COALESCING_WAIT).await;
          }
          Err(_closed) => break,
        },
      }
    }
    self.end_lease().await;
  }

  /// Notes that the key was removed, by another writer or by the end of its lease.
  fn mark_removed(&mut self) {
    self.version = None;
    self.written = false;
  }

  async fn ensure_written(&mut self, value: Bytes) -> Result<(), StoreError> {
    if self.lease.is_some() && self.renewed_at.elapsed() >= self.ttl / RENEWALS_PER_TTL {
      self.renew().await?;
    }
    let lease = match self.lease {
      Some(lease) => lease,
      None => self.grant().await?,
    };
    if self.written {
      return Ok(());
    }
    let expect = self.version.map_or(Expect::Absent, Expect::Version);
    match self.store.put_leased(&self.key, value, expect, lease).await {
      Ok(version) => {
        self.version = Some(version);
        self.latest.store(version, Ordering::SeqCst);
        self.written = true;
        Ok(())
      }
      Err(error) => {
        self.prepare_retry(&error).await?;
        Err(error)
      }
    }
  }

  /// Prepares the next attempt after a failed write.
  async fn prepare_retry(&mut self, error: &StoreError) -> Result<(), StoreError> {
    match error {
      StoreError::Conflict { current } => self.version = *current,
      StoreError::LeaseEnded => self.lease = None,
      // The write may have taken effect.
      StoreError::TimedOut => {
        let found = self.store.get(&self.key).await?;
        self.version = found.map(|found| found.version);
      }
      StoreError::Unavailable { .. }
      | StoreError::TooLarge
      | StoreError::Quota
      | StoreError::Compacted => {}
    }
    Ok(())
  }

  async fn grant(&mut self) -> Result<LeaseId, StoreError> {
    let started = Instant::now();
    let lease = self.store.grant(self.ttl).await?;
    self.lease = Some(lease.id);
    self.ttl = lease.ttl;
    self.renewed_at = started;
    self.written = false;
    Ok(lease.id)
  }

  async fn renew(&mut self) -> Result<(), StoreError> {
    let Some(lease) = self.lease else {
      return Ok(());
    };
    let started = Instant::now();
    match self.store.renew(lease).await {
      Ok(()) => {
        self.renewed_at = started;
        Ok(())
      }
      Err(StoreError::LeaseEnded) => {
        tracing::warn!(event = "lease_ended", key = self.key, %lease);
        self.lease = None;
        self.mark_removed();
        Ok(())
      }
      Err(error) => Err(error),
    }
  }

  async fn end_lease(&self) {
    let Some(lease) = self.lease else {
      return;
    };
    if let Err(error) = self.store.end(lease).await {
      // The key is removed when the lease ends by itself.
      tracing::info!(event = "lease_not_ended", key = self.key, %error);
    }
  }
}
