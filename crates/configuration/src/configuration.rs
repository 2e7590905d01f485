//! Reads the configuration from the platform and writes changes to it.
//!
//! `config/head` refers to all other values, so a single compare-and-swap of it accepts a change
//! together with its audit record; [`ChangeWriter`] handles a lost answer to that write.

use {
  crate::{
    Audit, AuditFilter, ChangeRequest, ChangeWriter, ConfigurationError, Head, Presets, Record,
    RetryLimits, Snapshot, Store, Versioned,
  },
  cactusyoke_model::{Clock, Revision},
  std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
  },
  tokio::time::{Instant, sleep},
};

pub(crate) const HEAD_KEY: &str = "config/head";

/// Configuration stored in the platform.
#[derive(Clone, Debug)]
pub struct Configuration {
  store: Arc<dyn Store>,
  presets: Presets,
  audit: Audit,
  clock: Arc<dyn Clock>,
  limits: RetryLimits,
}

impl Configuration {
  /// Configuration in `store`.
  pub fn new(store: Arc<dyn Store>, clock: Arc<dyn Clock>, limits: RetryLimits) -> Self {
    Self {
      presets: Presets::new(Arc::clone(&store)),
      audit: Audit::new(Arc::clone(&store)),
      store,
      clock,
      limits,
    }
  }

  /// Reads the head and its version; version 0 means that no configuration was ever written.
  pub async fn head(&self) -> Result<(Head, u64), ConfigurationError> {
    decode_head(self.store.get(HEAD_KEY).await?)
  }

  /// Reads the whole configuration.
  pub async fn load(&self) -> Result<Snapshot, ConfigurationError> {
    let (head, _) = self.head().await?;
    let mut snapshot = Snapshot {
      revision: head.revision,
      in_force: head.in_force,
      presets: Vec::with_capacity(head.presets.len()),
    };
    for (name, entry) in &head.presets {
      let preset = self.presets.read(name, entry.hash).await?;
      snapshot.presets.push(preset);
    }
    Ok(snapshot)
  }

  /// Applies a change, or returns its record if it was applied before. `adopted` is the highest
  /// revision known to the caller; the change is refused while the platform is behind it.
  pub async fn change(
    &self,
    request: &ChangeRequest,
    adopted: Revision,
  ) -> Result<Record, ConfigurationError> {
    request.validate()?;
    let deadline = Instant::now() + self.limits.time_limit;
    let mut writer = ChangeWriter {
      store: &*self.store,
      presets: &self.presets,
      audit: &self.audit,
      request,
      adopted,
      time: truncate_to_millis(self.clock.wall()),
      seen_version: 0,
      unconfirmed_version: None,
      searched_to: Revision(0),
    };
    let mut last_error =
      ConfigurationError::Unavailable("the platform was not asked: allow one attempt".into());
    for number in 0..self.limits.max_attempts {
      if number > 0 {
        sleep(self.limits.wait(number)).await;
      }
      if number > 0 && Instant::now() > deadline {
        break;
      }
      match writer.attempt().await {
        Ok(record) => return Ok(record),
        Err(error) if writer.unconfirmed_version.is_none() && error.is_final() => {
          return Err(error);
        }
        Err(error) => last_error = error,
      }
    }
    if writer.unconfirmed_version.is_some() {
      return Err(ConfigurationError::Unconfirmed {
        id: request.id,
        based_on: request.based_on,
      });
    }
    Err(last_error)
  }

  /// Changes that match the filter, newest first.
  pub async fn audit(&self, filter: &AuditFilter) -> Result<Vec<Record>, ConfigurationError> {
    let (head, _) = self.head().await?;
    let mut to = head.oldest_revision();
    let mut found = head.changes;
    found.reverse();
    found.retain(|record| filter.matches(record));
    while to.0 > 1 && found.len() < filter.limit {
      let from = Audit::segment_start(Revision(to.0 - 1));
      let mut records = self.audit.range(from, to).await?;
      let newest = records.iter().map(|record| record.time).max();
      records.reverse();
      records.retain(|record| filter.matches(record));
      found.append(&mut records);
      // Writers' clocks differ, so an earlier segment may hold a time slightly later than any in
      // this one.
      let margin = Duration::from_mins(10);
      if filter.since > newest.map(|newest| newest + margin) {
        break;
      }
      to = from;
    }
    found.truncate(filter.limit);
    Ok(found)
  }
}

/// Decodes the head; if it was never written, it is empty and has version 0.
pub(crate) fn decode_head(found: Option<Versioned>) -> Result<(Head, u64), ConfigurationError> {
  let Some(found) = found else {
    return Ok((Head::default(), 0));
  };
  match serde_json::from_slice(&found.value) {
    Ok(head) => Ok((head, found.version)),
    Err(error) => Err(corrupt_head(&error)),
  }
}

pub(crate) fn corrupt_head(error: &serde_json::Error) -> ConfigurationError {
  ConfigurationError::Corrupt {
    key: HEAD_KEY.into(),
    cause: error.to_string(),
  }
}

/// Truncates a time to milliseconds, the precision of stored times.
fn truncate_to_millis(time: SystemTime) -> SystemTime {
  let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
  UNIX_EPOCH + Duration::from_millis(since.as_millis() as u64)
}
