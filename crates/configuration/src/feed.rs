//! Follows all changes to the store's keys below a prefix with one watch at a time.

use {
  crate::{Event, LeaseStore, Listing, StoreError},
  rand::Rng,
  std::{sync::Arc, time::Duration},
  tokio::time::sleep,
};

/// Longest wait of one watch. A connection that no longer delivers data is noticed once this wait
/// and the timeout of a call have passed, which must leave time for a change to be in force within
/// 4 s.
const WATCH_WAIT: Duration = Duration::from_secs(3);
/// Shortest backoff after the first failure; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// The store is called again within 1 s of its recovery.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Calls refused for lack of quota are repeated less often, as each call prolongs the shortage.
const MAX_QUOTA_BACKOFF: Duration = Duration::from_secs(10);

/// Receiver of what the feed reads.
pub trait FeedSink: Send + Sync + 'static {
  /// All keys, at the start and whenever changes may have been missed.
  fn listed(&self, listing: &Listing);

  /// One change after the last listing.
  fn changed(&self, event: &Event);

  /// A call to the store has ended with this result.
  fn called(&self, result: Result<(), &StoreError>);
}

/// Follows all changes to the keys below a prefix.
#[derive(Debug)]
pub struct Feed {
  store: Arc<dyn LeaseStore>,
  prefix: String,
}

impl Feed {
  /// Feed of the keys that begin with `prefix`.
  pub fn new(store: Arc<dyn LeaseStore>, prefix: String) -> Self {
    Self { store, prefix }
  }

  /// Follows the changes until the future is dropped.
  pub async fn run(self, sink: Arc<dyn FeedSink>) {
    let mut store_version = None;
    let mut failures = 0_u32;
    loop {
      let result = match store_version {
        None => self.list(&*sink).await,
        Some(after) => self.watch(after, &*sink).await,
      };
      sink.called(result.as_ref().map(|_version| ()));
      match result {
        Ok(next) => {
          store_version = Some(next);
          failures = 0;
        }
        Err(StoreError::Compacted) => store_version = None,
        Err(error) => {
          failures = failures.saturating_add(1);
          sleep(backoff(failures, &error)).await;
        }
      }
    }
  }

  async fn list(&self, sink: &dyn FeedSink) -> Result<u64, StoreError> {
    let listing = self.store.list(&self.prefix).await?;
    sink.listed(&listing);
    Ok(listing.store_version)
  }

  async fn watch(&self, after: u64, sink: &dyn FeedSink) -> Result<u64, StoreError> {
    let changes = self.store.changes(&self.prefix, after, WATCH_WAIT).await?;
    for event in &changes.events {
      sink.changed(event);
    }
    Ok(changes.store_version.max(after))
  }
}

/// Random wait before the next call, after a number of failures in a row.
pub(crate) fn backoff(failures: u32, error: &StoreError) -> Duration {
  let max = match error {
    StoreError::Quota => MAX_QUOTA_BACKOFF,
    _ => MAX_BACKOFF,
  };
  let backoff = INITIAL_BACKOFF
    .saturating_mul(1 << failures.min(10))
    .min(max);
  backoff.mul_f64(rand::rng().random_range(0.5..=1.0))
}
