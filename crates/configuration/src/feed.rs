//! Reads all changes to the store's keys below a prefix with one watch at a time.

use {
  crate::{Changes, LeaseStore, Listing, StoreError},
  rand::Rng,
  std::{sync::Arc, time::Duration},
  tokio::time::sleep,
};

/// Longest wait of one watch. A connection that no longer delivers data is noticed once this wait
/// and the timeout of a watch have passed, which must leave time for another node to read a change
/// and for the change to be in force within 2 s.
const WATCH_WAIT: Duration = Duration::from_millis(750);
/// Shortest backoff after the first failure; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// The store is called again within 1 s of its recovery.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Calls refused for lack of quota are repeated less often, as each call prolongs the shortage.
const MAX_QUOTA_BACKOFF: Duration = Duration::from_secs(10);

/// Wait after changes before the next watch, which then brings all changes of that time at once.
const CHANGES_PAUSE: Duration = Duration::from_millis(250);

/// Wait after the first listing before the first watch. While many nodes start, each write of one of
/// them would end the watches of all others.
const LISTING_PAUSE: Duration = Duration::from_secs(1);

/// Receiver of what the feed reads.
pub trait FeedSink: Send + Sync + 'static {
  /// All keys, at the start and whenever changes may have been missed.
  fn listed(&self, listing: &Listing);

  /// Changes after the version that was asked for; there may be none.
  fn changed(&self, changes: &Changes);

  /// A call to the store has ended with this result. Lost history is no failure of the store and is
  /// not reported: a listing follows at once.
  fn called(&self, result: Result<(), &StoreError>);
}

/// Follows all changes to the keys below a prefix.
#[derive(Debug)]
pub struct Feed {
  store: Arc<dyn LeaseStore>,
  prefix: String,
  /// Failed calls in a row.
  failures: u32,
  /// The last call succeeded.
  confirmed: bool,
  /// A watch cannot report what is needed: the store no longer has the changes, or did not answer.
  relist: bool,
}

impl Feed {
  /// Feed of the keys that begin with `prefix`.
  pub fn new(store: Arc<dyn LeaseStore>, prefix: String) -> Self {
    Self {
      store,
      prefix,
      failures: 0,
      confirmed: false,
      relist: false,
    }
  }

  /// Notes that no calls follow for some time, so that the next one has to be answered at once.
  pub const fn pause(&mut self) {
    self.confirmed = false;
  }

  /// Makes one call for the changes after a version of the store, or a listing without one. Pauses
  /// after changes and failures.
  pub async fn read(&mut self, after: Option<u64>, sink: &dyn FeedSink) {
    let watch = after.filter(|_after| !self.relist);
    let result = match watch {
      Some(after) => self.watch(after, sink).await,
      None => self.list(after, sink).await,
    };
    match result {
      Ok(pause) => {
        sink.called(Ok(()));
        self.failures = 0;
        self.confirmed = true;
        self.relist = false;
        sleep(pause).await;
      }
      Err(StoreError::Compacted) => {
        tracing::info!(event = "history_lost");
        self.relist = true;
      }
      Err(error) => {
        sink.called(Err(&error));
        self.failures = self.failures.saturating_add(1);
        self.confirmed = false;
        self.relist = watch.is_some() && error == StoreError::TimedOut;
        sleep(backoff(self.failures, &error)).await;
      }
    }
  }

  async fn list(&self, after: Option<u64>, sink: &dyn FeedSink) -> Result<Duration, StoreError> {
    let listing = self.store.list(&self.prefix).await?;
    sink.listed(&listing);
    Ok(after.map_or(LISTING_PAUSE, |_after| CHANGES_PAUSE))
  }

  /// Waits for changes only if the last call succeeded: otherwise it is more urgent to know whether
  /// the store answers.
  async fn watch(&self, after: u64, sink: &dyn FeedSink) -> Result<Duration, StoreError> {
    let wait = if self.confirmed {
      WATCH_WAIT
    } else {
      Duration::ZERO
    };
    let changes = self.store.changes(&self.prefix, after, wait).await?;
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
