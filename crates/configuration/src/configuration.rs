//! Reads the configuration from the platform and writes changes to it.
//!
//! `config/head` names everything, so one compare-and-swap of it accepts a change together with its
//! audit record; [`ChangeWriter`] says what happens when its answer is lost.

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

pub(crate) const HEAD: &str = "config/head";

/// Configuration in the platform.
#[derive(Clone, Debug)]
pub struct Configuration {
  store: Arc<dyn Store>,
  presets: Presets,
  audit: Audit,
  clock: Arc<dyn Clock>,
  limits: RetryLimits,
}

impl Configuration {
  /// Configuration kept in `store`.
  pub fn new(store: Arc<dyn Store>, clock: Arc<dyn Clock>, limits: RetryLimits) -> Self {
    Self {
      presets: Presets::new(Arc::clone(&store)),
      audit: Audit::new(Arc::clone(&store)),
      store,
      clock,
      limits,
    }
  }

  /// Reads the head with its version; version 0 is a platform without configuration.
  pub async fn head(&self) -> Result<(Head, u64), ConfigurationError> {
    decode(self.store.get(HEAD).await?)
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

  /// Makes a change, or finds that it was made before. `adopted` is the highest revision known to
  /// the caller: a platform behind it takes no changes.
  pub async fn change(
    &self,
    request: &ChangeRequest,
    adopted: Revision,
  ) -> Result<Record, ConfigurationError> {
    request.check()?;
    let end = Instant::now() + self.limits.time_limit;
    let mut writer = ChangeWriter {
      store: &*self.store,
      presets: &self.presets,
      audit: &self.audit,
      request,
      adopted,
      time: millis(self.clock.wall()),
      seen: 0,
      doubt: None,
      searched: Revision(0),
    };
    let mut failure =
      ConfigurationError::Unavailable("the platform was not asked: allow one attempt".into());
    for number in 0..self.limits.max_attempts {
      if number > 0 {
        sleep(self.limits.wait(number)).await;
      }
      if number > 0 && Instant::now() > end {
        break;
      }
      match writer.attempt().await {
        Ok(record) => return Ok(record),
        Err(error) if writer.doubt.is_none() && error.is_final() => return Err(error),
        Err(error) => failure = error,
      }
    }
    if writer.doubt.is_some() {
      return Err(ConfigurationError::Unconfirmed {
        id: request.id,
        based_on: request.based_on,
      });
    }
    Err(failure)
  }

  /// Selected changes, newest first.
  pub async fn audit(&self, filter: &AuditFilter) -> Result<Vec<Record>, ConfigurationError> {
    let (head, _) = self.head().await?;
    let mut to = head.oldest();
    let mut found = head.changes;
    found.reverse();
    found.retain(|record| filter.matches(record));
    while to.0 > 1 && found.len() < filter.limit {
      let from = Audit::start(Revision(to.0 - 1));
      let mut records = self.audit.range(from, to).await?;
      let newest = records.iter().map(|record| record.time).max();
      records.reverse();
      records.retain(|record| filter.matches(record));
      found.append(&mut records);
      // Times are those of several writers, so a segment may hold one that is slightly older than
      // an earlier segment's.
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

/// Reads a head; one that was never written has version 0.
pub(crate) fn decode(found: Option<Versioned>) -> Result<(Head, u64), ConfigurationError> {
  let Some(found) = found else {
    return Ok((Head::default(), 0));
  };
  match serde_json::from_slice(&found.value) {
    Ok(head) => Ok((head, found.version)),
    Err(error) => Err(corrupt(&error)),
  }
}

pub(crate) fn corrupt(error: &serde_json::Error) -> ConfigurationError {
  ConfigurationError::Corrupt {
    key: HEAD.into(),
    cause: error.to_string(),
  }
}

/// Times are kept with milliseconds.
fn millis(time: SystemTime) -> SystemTime {
  let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
  UNIX_EPOCH + Duration::from_millis(since.as_millis() as u64)
}
