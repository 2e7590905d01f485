//! Reads the configuration from the platform and writes changes to it.
//!
//! `config/head` names everything, so one compare-and-swap of it accepts a change together with its
//! audit record. A change whose answer was lost is in doubt until the head has moved on: while the
//! head is at the version that the lost write expected, the write is repeated, and at most one of
//! the two can match; once the head is past that version, the change is either recorded or never
//! will be.

use {
  crate::{
    Audit, AuditFilter, ChangeRequest, ConfigurationError, Expect, HEAD_CHANGES, Head, Intent,
    MOVED, Presets, Record, RecordedEdit, RetryLimits, Snapshot, Store, StoreError, Versioned,
  },
  cactusyoke_model::{Clock, Revision},
  std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
  },
  tokio::time::{Instant, sleep},
};

pub(crate) const HEAD: &str = "config/head";
/// Most changes since the revision on which a change is based, about a day's at full scale. The
/// writer looks through all of them for its change id, which takes a read for each 256.
const MAX_AGE: u64 = 15_000;

/// Configuration in the platform.
#[derive(Clone, Debug)]
pub struct Configuration {
  store: Arc<dyn Store>,
  presets: Presets,
  audit: Audit,
  clock: Arc<dyn Clock>,
  limits: RetryLimits,
}

/// What the attempts at one change have learned.
#[derive(Debug, Default)]
struct Attempt {
  /// Highest version of the head that was seen or named; older ones come from a lagging replica.
  seen: u64,
  /// Version that a write without an answer expected.
  doubt: Option<u64>,
  /// Changes below this revision are known not to be the one asked for.
  searched: Revision,
  /// Why the last attempt did not end the change.
  failure: Option<ConfigurationError>,
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
    let time = millis(self.clock.wall());
    let end = Instant::now() + self.limits.within;
    let mut attempt = Attempt::default();
    for number in 0..self.limits.attempts {
      if number > 0 {
        sleep(self.limits.wait(number)).await;
      }
      if number > 0 && Instant::now() > end {
        break;
      }
      match self.attempt(request, adopted, time, &mut attempt).await {
        Ok(record) => return Ok(record),
        Err(error) if attempt.doubt.is_none() && is_final(&error) => return Err(error),
        Err(error) => attempt.failure = Some(error),
      }
    }
    if attempt.doubt.is_some() {
      return Err(ConfigurationError::Unconfirmed {
        id: request.id,
        based_on: request.based_on,
      });
    }
    Err(attempt.failure.unwrap_or_else(|| {
      ConfigurationError::Unavailable("the platform was not asked: allow one attempt".into())
    }))
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

  async fn attempt(
    &self,
    request: &ChangeRequest,
    adopted: Revision,
    time: SystemTime,
    attempt: &mut Attempt,
  ) -> Result<Record, ConfigurationError> {
    let (mut head, version) = self.head().await?;
    if version < attempt.seen {
      return Err(ConfigurationError::Unavailable(
        "the platform serves an older value of `config/head`: try again later".into(),
      ));
    }
    attempt.seen = version;
    let expected = adopted.max(request.based_on);
    if head.revision < expected {
      return Err(ConfigurationError::Behind {
        platform: head.revision,
        adopted: expected,
      });
    }
    if let Some(record) = self.find(&head, request, attempt).await? {
      return same(request, record);
    }
    attempt.doubt = attempt.doubt.filter(|doubt| *doubt == version);
    if let Some(revision) = head.conflict(&request.intent, request.based_on) {
      return Err(ConfigurationError::Conflict {
        other: Box::new(self.record(&head, revision).await?),
        revision: head.revision,
      });
    }
    let record = Record {
      revision: head.next(),
      id: request.id,
      operator: request.operator.clone(),
      time,
      reason: request.reason.clone(),
      edit: self.edit(&head, &request.intent).await?,
    };
    if head.changes.len() >= HEAD_CHANGES {
      self.audit.append(&head.changes[..MOVED]).await?;
      head.changes.drain(..MOVED);
    }
    head.push(record.clone());
    self.write(&head, version, attempt).await?;
    Ok(record)
  }

  async fn write(
    &self,
    head: &Head,
    version: u64,
    attempt: &mut Attempt,
  ) -> Result<(), ConfigurationError> {
    let value = serde_json::to_vec(head).map_err(|error| corrupt(&error))?;
    let expect = match version {
      0 => Expect::Absent,
      version => Expect::Version(version),
    };
    match self.store.put(HEAD, value.into(), expect).await {
      Ok(_) => Ok(()),
      Err(error) => {
        match error {
          StoreError::Conflict { current } => {
            attempt.seen = attempt.seen.max(current.unwrap_or(0));
          }
          StoreError::TimedOut => attempt.doubt = Some(version),
          StoreError::Unavailable { .. } | StoreError::Quota | StoreError::TooLarge => {}
        }
        Err(error.into())
      }
    }
  }

  /// The record of the change that is asked for, where it was accepted before.
  async fn find(
    &self,
    head: &Head,
    request: &ChangeRequest,
    attempt: &mut Attempt,
  ) -> Result<Option<Record>, ConfigurationError> {
    if let Some(record) = head.find(request.id) {
      return Ok(Some(record.clone()));
    }
    if head.revision.0 - request.based_on.0 > MAX_AGE {
      return Err(ConfigurationError::TooOld {
        based_on: request.based_on,
        revision: head.revision,
      });
    }
    let from = Revision(request.based_on.0 + 1).max(attempt.searched);
    let older = self.audit.range(from, head.oldest()).await?;
    let found = older.into_iter().find(|record| record.id == request.id);
    if found.is_none() {
      attempt.searched = head.oldest();
    }
    Ok(found)
  }

  async fn record(&self, head: &Head, revision: Revision) -> Result<Record, ConfigurationError> {
    let in_head = head
      .changes
      .iter()
      .find(|record| record.revision == revision);
    if let Some(record) = in_head {
      return Ok(record.clone());
    }
    let mut found = self.audit.range(revision, Revision(revision.0 + 1)).await?;
    found.pop().ok_or_else(|| {
      ConfigurationError::Unavailable(format!(
        "the platform has no record of revision {revision}: try again later"
      ))
    })
  }

  async fn edit(&self, head: &Head, intent: &Intent) -> Result<RecordedEdit, ConfigurationError> {
    match intent {
      Intent::Use(name) if !head.presets.contains_key(name) => {
        Err(ConfigurationError::NoPreset(name.clone()))
      }
      Intent::Use(name) => Ok(RecordedEdit::Use {
        before: head.in_force.clone(),
        after: name.clone(),
      }),
      Intent::Put(preset) => Ok(RecordedEdit::Put {
        preset: preset.name.clone(),
        before: head.presets.get(&preset.name).map(|entry| entry.hash),
        after: self.presets.write(preset).await?,
      }),
    }
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

fn corrupt(error: &serde_json::Error) -> ConfigurationError {
  ConfigurationError::Corrupt {
    key: HEAD.into(),
    cause: error.to_string(),
  }
}

/// True when another attempt would end the same way.
const fn is_final(error: &ConfigurationError) -> bool {
  match error {
    ConfigurationError::Unavailable(_) | ConfigurationError::Behind { .. } => false,
    ConfigurationError::Conflict { .. }
    | ConfigurationError::NoPreset(_)
    | ConfigurationError::Preset(_)
    | ConfigurationError::Operator(_)
    | ConfigurationError::Reason(_)
    | ConfigurationError::TooLarge
    | ConfigurationError::TooOld { .. }
    | ConfigurationError::IdTaken(_)
    | ConfigurationError::Unconfirmed { .. }
    | ConfigurationError::Corrupt { .. }
    | ConfigurationError::Collision(_) => true,
  }
}

/// A repeated request must ask for the change that was recorded under its id.
fn same(request: &ChangeRequest, record: Record) -> Result<Record, ConfigurationError> {
  let same = match (&request.intent, &record.edit) {
    (Intent::Use(name), RecordedEdit::Use { after, .. }) => name == after,
    (Intent::Put(preset), RecordedEdit::Put { after, .. }) => Presets::hash(preset)? == *after,
    (Intent::Use(_), RecordedEdit::Put { .. }) | (Intent::Put(_), RecordedEdit::Use { .. }) => {
      false
    }
  };
  if same {
    Ok(record)
  } else {
    Err(ConfigurationError::IdTaken(request.id))
  }
}

/// Times are kept with milliseconds.
fn millis(time: SystemTime) -> SystemTime {
  let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
  UNIX_EPOCH + Duration::from_millis(since.as_millis() as u64)
}
