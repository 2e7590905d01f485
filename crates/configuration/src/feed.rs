//! Reads all changes to the store's keys below a prefix with one watch at a time.

use {
  crate::{Changes, LeaseStore, Listing, StoreError},
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

/// Wait after changes before the next watch, which then brings all changes of that time at once.
const CHANGES_PAUSE: Duration = Duration::from_millis(250);

/// Wait after a listing before the first watch. While many nodes start, each write of one of them
/// would end the watches of all others.
const LISTING_PAUSE: Duration = Duration::from_secs(1);

/// Receiver of what the feed reads.
pub trait FeedSink: Send + Sync + 'static {
  /// All keys, at the start and whenever changes may have been missed.
  fn listed(&self, listing: &Listing);

  /// Changes after the version that was asked for; there may be none.
  fn changed(&self, changes: &Changes);

  /// A call to the store has ended with this result.
  fn called(&self, result: Result<(), &StoreError>);
}

/// Follows all changes to the keys below a prefix.
#[derive(Debug)]
pub struct Feed {
  store: Arc<dyn LeaseStore>,
  prefix: String,
  /// Failed calls in a row.
  failures: u32,
  /// The store no longer has the changes that are needed.
  compacted: bool,
}

impl Feed {
  /// Feed of the keys that begin with `prefix`.
  pub fn new(store: Arc<dyn LeaseStore>, prefix: String) -> Self {
    Self {
      store,
      prefix,
      failures: 0,
      compacted: false,
    }
  }

  /// Makes one call for the changes after a version of the store, or a listing without one. Pauses
  /// after changes and failures.
  pub async fn read(&mut self, after: Option<u64>, sink: &dyn FeedSink) {
    let result = match after {
      Some(after) if !self.compacted => self.watch(after, sink).await,
      Some(_) | None => self.list(sink).await,
    };
    sink.called(result.as_ref().map(|_pause| ()));
    match result {
      Ok(pause) => {
        self.failures = 0;
        self.compacted = false;
        sleep(pause).await;
      }
      Err(StoreError::Compacted) => self.compacted = true,
      Err(error) => {
        self.failures = self.failures.saturating_add(1);
        sleep(backoff(self.failures, &error)).await;
      }
    }
  }

  async fn list(&self, sink: &dyn FeedSink) -> Result<Duration, StoreError> {
    let listing = self.store.list(&self.prefix).await?;
    sink.listed(&listing);
    Ok(LISTING_PAUSE)
  }

  async fn watch(&self, after: u64, sink: &dyn FeedSink) -> Result<Duration, StoreError> {
    let changes = self.store.changes(&self.prefix, after, WATCH_WAIT).await?;
    sink.changed(&changes);
    Ok(if changes.events.is_empty() {
      Duration::ZERO
    } else {
      CHANGES_PAUSE
    })
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
