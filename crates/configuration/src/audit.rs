//! Audit trail: changes that were moved out of the head.
//!
//! The revision of a change determines its segment, `(revision - 1) / 256` under `audit/NNNN`, so
//! two writers that move the same changes write the same records and none is stored twice. Changes
//! are written to their segment before the head drops them; for a short time both have them.

use {
  crate::{ConfigurationError, Expect, Record, Store, StoreError},
  cactusyoke_model::Revision,
  std::{collections::BTreeMap, sync::Arc},
};

/// Changes per segment. With the longest reasons, a segment has about 350 KB.
const SEGMENT_CHANGES: u64 = 256;
/// Attempts to write one segment while other writers move changes.
const MAX_ATTEMPTS: u32 = 8;

/// Segments of the audit trail in the platform.
#[derive(Clone, Debug)]
pub(crate) struct Audit(Arc<dyn Store>);

impl Audit {
  pub(crate) fn new(store: Arc<dyn Store>) -> Self {
    Self(store)
  }

  /// Adds the changes that are missing from their segments.
  pub(crate) async fn append(&self, records: &[Record]) -> Result<(), ConfigurationError> {
    let mut segments = BTreeMap::<u64, Vec<&Record>>::new();
    for record in records {
      segments
        .entry(segment(record.revision))
        .or_default()
        .push(record);
    }
    for (number, records) in segments {
      self.append_to(number, &records).await?;
    }
    Ok(())
  }

  async fn append_to(&self, number: u64, added: &[&Record]) -> Result<(), ConfigurationError> {
    let key = key(number);
    for _ in 0..MAX_ATTEMPTS {
      let (mut records, expect) = self.read(number).await?;
      let before = records.len();
      for record in added {
        records
          .entry(record.revision)
          .or_insert_with(|| (*record).clone());
      }
      if records.len() == before {
        return Ok(());
      }
      let value = serde_json::to_vec(&records.values().collect::<Vec<_>>());
      let value = value.map_err(|error| corrupt_segment(&key, &error))?;
      match self.0.put(&key, value.into(), expect).await {
        Ok(_) => return Ok(()),
        // The next attempt reads the segment, whether another writer's or this one took effect.
        Err(StoreError::Conflict { .. } | StoreError::TimedOut) => {}
        Err(error) => return Err(error.into()),
      }
    }
    Err(ConfigurationError::Unavailable(format!(
      "`{key}` could not be written in {MAX_ATTEMPTS} attempts: try again later"
    )))
  }

  /// Changes with revisions `from..to`, oldest first. Fails if any is missing, which happens only
  /// when the platform serves a stale segment.
  pub(crate) async fn range(
    &self,
    from: Revision,
    to: Revision,
  ) -> Result<Vec<Record>, ConfigurationError> {
    let mut found = Vec::new();
    if from >= to {
      return Ok(found);
    }
    for number in segment(from)..=segment(Revision(to.0 - 1)) {
      let (mut records, _) = self.read(number).await?;
      records.retain(|revision, _| (from..to).contains(revision));
      found.extend(records.into_values());
    }
    if found.len() as u64 == to.0 - from.0 {
      return Ok(found);
    }
    Err(ConfigurationError::Unavailable(
      "the platform serves an older audit trail: try again later".into(),
    ))
  }

  /// First revision of the segment that holds `revision`.
  pub(crate) const fn segment_start(revision: Revision) -> Revision {
    Revision(segment(revision) * SEGMENT_CHANGES + 1)
  }

  async fn read(
    &self,
    number: u64,
  ) -> Result<(BTreeMap<Revision, Record>, Expect), ConfigurationError> {
    let key = key(number);
    let Some(found) = self.0.get(&key).await? else {
      return Ok((BTreeMap::new(), Expect::Absent));
    };
    let records = serde_json::from_slice::<Vec<Record>>(&found.value);
    let records = records.map_err(|error| corrupt_segment(&key, &error))?;
    let records = records
      .into_iter()
      .map(|record| (record.revision, record))
      .collect();
    Ok((records, Expect::Version(found.version)))
  }
}

const fn segment(revision: Revision) -> u64 {
  revision.0.saturating_sub(1) / SEGMENT_CHANGES
}

fn key(number: u64) -> String {
  format!("audit/{number:04}")
}

fn corrupt_segment(key: &str, error: &serde_json::Error) -> ConfigurationError {
  ConfigurationError::Corrupt {
    key: key.into(),
    cause: error.to_string(),
  }
}
