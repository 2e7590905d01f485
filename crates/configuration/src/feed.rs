//! Follows all changes of the store with one watch.

use {
  crate::{Event, LeaseStore, Listing, StoreError},
  rand::Rng,
  std::{sync::Arc, time::Duration},
  tokio::time::sleep,
};

/// Wait of one watch. A connection that went silent is noticed when the wait and the time limit of
/// a call have passed, which must leave room within the 4 s for a change to be in force.
const WAIT: Duration = Duration::from_secs(3);
/// Pause after the first failure; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause. The store is asked again within a second of its return.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause after calls that were refused for lack of quota, which more calls only prolong.
const LONGEST_QUOTA_PAUSE: Duration = Duration::from_secs(10);

/// Takes what the feed reads.
pub trait FeedSink: Send + Sync + 'static {
  /// Everything in the store, at the start and whenever changes may have been missed.
  fn listed(&self, listing: &Listing);

  /// One change after that.
  fn changed(&self, event: &Event);

  /// The store was reached, or not.
  fn called(&self, result: Result<(), &StoreError>);
}

/// Reader of all changes below a prefix.
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

  /// Reads until it is dropped.
  pub async fn run(self, sink: Arc<dyn FeedSink>) {
    let mut at = None;
    let mut failures = 0_u32;
    loop {
      let result = match at {
        None => self.list(&*sink).await,
        Some(after) => self.watch(after, &*sink).await,
      };
      sink.called(result.as_ref().map(|_at| ()));
      match result {
        Ok(next) => {
          at = Some(next);
          failures = 0;
        }
        Err(StoreError::Compacted) => at = None,
        Err(error) => {
          failures = failures.saturating_add(1);
          sleep(pause(failures, &error)).await;
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
    let changes = self.store.changes(&self.prefix, after, WAIT).await?;
    for event in &changes.events {
      sink.changed(event);
    }
    Ok(changes.store_version.max(after))
  }
}

/// Pause before the next call after failures in a row.
pub(crate) fn pause(failures: u32, error: &StoreError) -> Duration {
  let longest = match error {
    StoreError::Quota => LONGEST_QUOTA_PAUSE,
    _ => LONGEST_PAUSE,
  };
  let pause = FIRST_PAUSE
    .saturating_mul(1 << failures.min(10))
    .min(longest);
  pause.mul_f64(rand::rng().random_range(0.5..=1.0))
}
