use {
  crate::{Expect, Store, StoreError, Versioned},
  bytes::Bytes,
  cactusyoke_model::DataCentre,
  std::{sync::Arc, time::Duration},
};

/// Rosters of a data centre: one value per group, under `roster/DC/GROUP`.
#[derive(Clone, Debug)]
pub struct Rosters {
  store: Arc<dyn Store>,
  data_centre: DataCentre,
}

impl Rosters {
  /// Rosters of a data centre.
  pub fn new(store: Arc<dyn Store>, data_centre: DataCentre) -> Self {
    Self { store, data_centre }
  }

  /// Reads the roster of a group.
  pub async fn read(&self, group: u32) -> Result<Option<Versioned>, StoreError> {
    self.store.get(&self.key(group)).await
  }

  /// Replaces the roster of a group and returns its version. If the answer is lost, a read decides:
  /// the write took effect if a later version holds this value.
  pub async fn replace(&self, group: u32, value: Bytes, expect: Expect) -> Result<u64, StoreError> {
    let key = self.key(group);
    match self.store.put(&key, value.clone(), expect).await {
      Err(StoreError::TimedOut) => {}
      result => return result,
    }
    let before = match expect {
      Expect::Version(version) => version,
      Expect::Absent => 0,
      Expect::Any => return Err(StoreError::TimedOut),
    };
    match self.store.get(&key).await {
      Ok(Some(found)) if found.version > before && found.value == value => Ok(found.version),
      Ok(Some(found)) if found.version > before => Err(StoreError::Conflict {
        current: Some(found.version),
      }),
      // The write may still be in transit, or the read was served by a lagging replica.
      Ok(_) | Err(_) => Err(StoreError::TimedOut),
    }
  }

  /// Waits for a version of a group's roster above `after`.
  pub async fn watch(
    &self,
    group: u32,
    after: u64,
    wait: Duration,
  ) -> Result<Option<Versioned>, StoreError> {
    self.store.watch(&self.key(group), after, wait).await
  }

  fn key(&self, group: u32) -> String {
    format!("roster/{}/{group}", self.data_centre)
  }
}
