//! Writes one change.
//!
//! If the answer to the write of the head is lost, the change stays unconfirmed until the head has
//! a newer version. While the head is at the version that the lost write expected, the write is
//! repeated: both expect the same version, so at most one takes effect. Once the head is past that
//! version, the change is either recorded or never will be.

use {
  crate::{
    Audit, ChangeRequest, ConfigurationError, Expect, HEAD_KEY, Head, MAX_HEAD_CHANGES, MOVE_BATCH,
    Presets, Record, RecordedEdit, RequestedEdit, Store, StoreError, corrupt_head, decode_head,
  },
  cactusyoke_model::Revision,
  std::time::SystemTime,
};

/// Most revisions between a change's base and the head: about a day of changes at full scale. The
/// writer searches all of them for its change id, with one read per 256.
const MAX_REVISIONS_BEHIND: u64 = 15_000;

/// A change being written, and what its attempts have found so far.
#[derive(Debug)]
pub(crate) struct ChangeWriter<'a> {
  pub(crate) store: &'a dyn Store,
  pub(crate) presets: &'a Presets,
  pub(crate) audit: &'a Audit,
  pub(crate) request: &'a ChangeRequest,
  /// Highest revision known to the requester.
  pub(crate) adopted: Revision,
  pub(crate) time: SystemTime,
  /// Highest version of the head read or reported by a conflict; a read of a lower one came from a
  /// lagging replica.
  pub(crate) seen_version: u64,
  /// Version expected by a write whose answer was lost.
  pub(crate) unconfirmed_version: Option<u64>,
  /// No change below this revision has the requested id.
  pub(crate) searched_to: Revision,
}

impl ChangeWriter<'_> {
  /// Makes one attempt at the change.
  pub(crate) async fn attempt(&mut self) -> Result<Record, ConfigurationError> {
    let request = self.request;
    let (mut head, version) = decode_head(self.store.get(HEAD_KEY).await?)?;
    if version < self.seen_version {
      return Err(ConfigurationError::Unavailable(
        "the platform serves an older value of `config/head`: try again later".into(),
      ));
    }
    self.seen_version = version;
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
    if let Some(record) = self.find_recorded(&head).await? {
      return check_same_edit(request, record);
    }
    self.unconfirmed_version = self
      .unconfirmed_version
      .filter(|unconfirmed| *unconfirmed == version);
    if let Some(revision) = head.conflict(&request.edit, request.based_on) {
      return Err(ConfigurationError::Conflict {
        other: Box::new(self.record_at(&head, revision).await?),
        revision: head.revision,
      });
    }
    let record = Record {
      revision: head.next_revision(),
      id: request.id,
      operator: request.operator.clone(),
      time: self.time,
      reason: request.reason.clone(),
      edit: self.recorded_edit(&head, &request.edit).await?,
    };
    if head.changes.len() >= MAX_HEAD_CHANGES {
      self.audit.append(&head.changes[..MOVE_BATCH]).await?;
      head.changes.drain(..MOVE_BATCH);
    }
    head.push(record.clone());
    self.write(&head, version).await?;
    Ok(record)
  }

  async fn write(&mut self, head: &Head, version: u64) -> Result<(), ConfigurationError> {
    let value = serde_json::to_vec(head).map_err(|error| corrupt_head(&error))?;
    let expect = match version {
      0 => Expect::Absent,
      version => Expect::Version(version),
    };
    match self.store.put(HEAD_KEY, value.into(), expect).await {
      Ok(_) => Ok(()),
      Err(error) => {
        match error {
          StoreError::Conflict { current } => {
            self.seen_version = self.seen_version.max(current.unwrap_or(0));
          }
          StoreError::TimedOut => self.unconfirmed_version = Some(version),
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

  /// Record of the requested change, if it was accepted before.
  async fn find_recorded(&mut self, head: &Head) -> Result<Option<Record>, ConfigurationError> {
    let request = self.request;
    if let Some(record) = head.find(request.id) {
      return Ok(Some(record.clone()));
    }
    if head.revision.0 - request.based_on.0 > MAX_REVISIONS_BEHIND {
      return Err(ConfigurationError::BaseTooOld {
        based_on: request.based_on,
        revision: head.revision,
      });
    }
    let from = Revision(request.based_on.0 + 1).max(self.searched_to);
    let older = self.audit.range(from, head.oldest_revision()).await?;
    let found = older.into_iter().find(|record| record.id == request.id);
    if found.is_none() {
      self.searched_to = head.oldest_revision();
    }
    Ok(found)
  }

  async fn record_at(&self, head: &Head, revision: Revision) -> Result<Record, ConfigurationError> {
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

  async fn recorded_edit(
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

/// Checks that a repeated request has the same edit as the change recorded under its id.
fn check_same_edit(request: &ChangeRequest, record: Record) -> Result<Record, ConfigurationError> {
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
