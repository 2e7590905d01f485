//! Writes one change.
//!
//! A change whose answer was lost is in doubt until the head has moved on: while the head is at the
//! version that the lost write expected, the write is repeated, and at most one of the two can
//! match; once the head is past that version, the change is either recorded or never will be.

use {
  crate::{
    Audit, ChangeRequest, ConfigurationError, Expect, HEAD, HEAD_CHANGES, Head, MOVED, Presets,
    Record, RecordedEdit, RequestedEdit, Store, StoreError, corrupt, decode,
  },
  cactusyoke_model::Revision,
  std::time::SystemTime,
};

/// Most changes since the revision on which a change is based, about a day's at full scale. The
/// writer looks through all of them for its change id, which takes a read for each 256.
const MAX_AGE: u64 = 15_000;

/// A change that is being written, with what its attempts have learned.
#[derive(Debug)]
pub(crate) struct ChangeWriter<'a> {
  pub(crate) store: &'a dyn Store,
  pub(crate) presets: &'a Presets,
  pub(crate) audit: &'a Audit,
  pub(crate) request: &'a ChangeRequest,
  /// Highest revision known to the asker.
  pub(crate) adopted: Revision,
  pub(crate) time: SystemTime,
  /// Highest version of the head that was seen or named; older ones come from a lagging replica.
  pub(crate) seen: u64,
  /// Version that a write without an answer expected.
  pub(crate) doubt: Option<u64>,
  /// Changes below this revision are known not to be the one asked for.
  pub(crate) searched: Revision,
}

impl ChangeWriter<'_> {
  /// Tries to make the change once.
  pub(crate) async fn attempt(&mut self) -> Result<Record, ConfigurationError> {
    let request = self.request;
    let (mut head, version) = decode(self.store.get(HEAD).await?)?;
    if version < self.seen {
      return Err(ConfigurationError::Unavailable(
        "the platform serves an older value of `config/head`: try again later".into(),
      ));
    }
    self.seen = version;
    if head.revision < self.adopted {
      return Err(ConfigurationError::StalePlatform {
        platform: head.revision,
        adopted: self.adopted,
      });
    }
    if head.revision < request.based_on {
      return Err(ConfigurationError::NoRevision {
        based_on: request.based_on,
        revision: head.revision,
      });
    }
    if let Some(record) = self.find(&head).await? {
      return same(request, record);
    }
    self.doubt = self.doubt.filter(|doubt| *doubt == version);
    if let Some(revision) = head.conflict(&request.edit, request.based_on) {
      return Err(ConfigurationError::Conflict {
        other: Box::new(self.record(&head, revision).await?),
        revision: head.revision,
      });
    }
    let record = Record {
      revision: head.next(),
      id: request.id,
      operator: request.operator.clone(),
      time: self.time,
      reason: request.reason.clone(),
      edit: self.edit(&head, &request.edit).await?,
    };
    if head.changes.len() >= HEAD_CHANGES {
      self.audit.append(&head.changes[..MOVED]).await?;
      head.changes.drain(..MOVED);
    }
    head.push(record.clone());
    self.write(&head, version).await?;
    Ok(record)
  }

  async fn write(&mut self, head: &Head, version: u64) -> Result<(), ConfigurationError> {
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
            self.seen = self.seen.max(current.unwrap_or(0));
          }
          StoreError::TimedOut => self.doubt = Some(version),
          StoreError::Unavailable { .. }
          | StoreError::Quota
          | StoreError::TooLarge
          | StoreError::Compacted
          | StoreError::LeaseEnded => {}
        }
        Err(error.into())
      }
    }
  }

  /// The record of the change that is asked for, where it was accepted before.
  async fn find(&mut self, head: &Head) -> Result<Option<Record>, ConfigurationError> {
    let request = self.request;
    if let Some(record) = head.find(request.id) {
      return Ok(Some(record.clone()));
    }
    if head.revision.0 - request.based_on.0 > MAX_AGE {
      return Err(ConfigurationError::BaseTooOld {
        based_on: request.based_on,
        revision: head.revision,
      });
    }
    let from = Revision(request.based_on.0 + 1).max(self.searched);
    let older = self.audit.range(from, head.oldest()).await?;
    let found = older.into_iter().find(|record| record.id == request.id);
    if found.is_none() {
      self.searched = head.oldest();
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

  async fn edit(
    &self,
    head: &Head,
    edit: &RequestedEdit,
  ) -> Result<RecordedEdit, ConfigurationError> {
    match edit {
      RequestedEdit::Use(name) if !head.presets.contains_key(name) => {
        Err(ConfigurationError::NoPreset(name.clone()))
      }
      RequestedEdit::Use(name) => Ok(RecordedEdit::Use {
        before: head.in_force.clone(),
        after: name.clone(),
      }),
      RequestedEdit::Put(preset) => Ok(RecordedEdit::Put {
        preset: preset.name.clone(),
        before: head.presets.get(&preset.name).map(|entry| entry.hash),
        after: self.presets.write(preset).await?,
      }),
    }
  }
}

/// A repeated request must ask for the change that was recorded under its id.
fn same(request: &ChangeRequest, record: Record) -> Result<Record, ConfigurationError> {
  let same = match (&request.edit, &record.edit) {
    (RequestedEdit::Use(name), RecordedEdit::Use { after, .. }) => name == after,
    (RequestedEdit::Put(preset), RecordedEdit::Put { after, .. }) => {
      Presets::hash(preset)? == *after
    }
    (RequestedEdit::Use(_), RecordedEdit::Put { .. })
    | (RequestedEdit::Put(_), RecordedEdit::Use { .. }) => false,
  };
  if same {
    Ok(record)
  } else {
    Err(ConfigurationError::IdTaken(request.id))
  }
}
