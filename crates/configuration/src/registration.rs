//! Keeps one key in the store for as long as this process lives.

use {
  crate::{Expect, LeaseId, LeaseStore, StoreError, feed::pause},
  bytes::Bytes,
  std::{sync::Arc, time::Duration},
  tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep, sleep_until},
  },
};

/// Renewals within the time to live of the lease, so that two may fail.
const RENEWALS: u32 = 3;

/// Key under a lease. It is written again when its value changes, when its lease has ended while
/// the process was paused or cut off, and when another writer removed it.
#[derive(Debug)]
pub struct Registration {
  store: Arc<dyn LeaseStore>,
  key: String,
  ttl: Duration,
  lease: Option<LeaseId>,
  /// Version of the key as last written or found.
  version: Option<u64>,
  /// The present value is in the store, as far as known.
  written: bool,
  renewed: Instant,
}

impl Registration {
  /// Registration under a lease that ends `ttl` after the last renewal.
  pub fn new(store: Arc<dyn LeaseStore>, key: String, ttl: Duration) -> Self {
    Self {
      store,
      key,
      ttl,
      lease: None,
      version: None,
      written: false,
      renewed: Instant::now(),
    }
  }

  /// Keeps the key until the value's sender is dropped, then removes it.
  pub async fn run(mut self, mut value: watch::Receiver<Bytes>, removed: Arc<Notify>) {
    let mut failures = 0_u32;
    loop {
      let current = value.borrow_and_update().clone();
      match self.refresh(current).await {
        Ok(()) => failures = 0,
        Err(error) => {
          failures = failures.saturating_add(1);
          if failures == 1 {
            tracing::warn!(event = "registration_failed", key = self.key, %error);
          }
          let pause = pause(failures, &error);
          tokio::select! {
            () = sleep(pause) => {}
            changed = value.changed() => if changed.is_err() { break },
          }
          continue;
        }
      }
      tokio::select! {
        () = sleep_until(self.renewed + self.ttl / RENEWALS) => {}
        () = removed.notified() => self.removed(),
        changed = value.changed() => match changed {
          Ok(()) => self.written = false,
          Err(_closed) => break,
        },
      }
    }
    self.end().await;
  }

  /// Another writer, or the end of the lease, removed the key.
  fn removed(&mut self) {
    self.version = None;
    self.written = false;
  }

  async fn refresh(&mut self, value: Bytes) -> Result<(), StoreError> {
    if self.lease.is_some() && self.renewed.elapsed() >= self.ttl / RENEWALS {
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
        self.written = true;
        Ok(())
      }
      Err(error) => {
        self.recover(&error).await?;
        Err(error)
      }
    }
  }

  /// Prepares the next write after a failed one.
  async fn recover(&mut self, error: &StoreError) -> Result<(), StoreError> {
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
    let asked = Instant::now();
    let lease = self.store.grant(self.ttl).await?;
    self.lease = Some(lease.id);
    self.ttl = lease.ttl;
    self.renewed = asked;
    self.written = false;
    Ok(lease.id)
  }

  async fn renew(&mut self) -> Result<(), StoreError> {
    let Some(lease) = self.lease else {
      return Ok(());
    };
    let asked = Instant::now();
    match self.store.renew(lease).await {
      Ok(()) => {
        self.renewed = asked;
        Ok(())
      }
      Err(StoreError::LeaseEnded) => {
        tracing::warn!(event = "lease_ended", key = self.key, %lease);
        self.lease = None;
        self.removed();
        Ok(())
      }
      Err(error) => Err(error),
    }
  }

  async fn end(&self) {
    let Some(lease) = self.lease else {
      return;
    };
    if let Err(error) = self.store.end(lease).await {
      // The key goes with its lease a little later.
      tracing::info!(event = "lease_not_ended", key = self.key, %error);
    }
  }
}
