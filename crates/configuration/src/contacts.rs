use {
  crate::{ConfigurationError, Expect, Store, StoreError},
  cactusyoke_model::{DataCentre, NodeId},
  std::{collections::BTreeSet, sync::Arc},
};

/// Most addresses in one record; a node finds all others by gossip from a few.
const MAX_CONTACTS: usize = 8;

/// Seed addresses of each data centre, under `contacts/DC`, through which its nodes are found.
#[derive(Clone, Debug)]
pub struct Contacts(Arc<dyn Store>);

impl Contacts {
  /// Contacts in `store`.
  pub fn new(store: Arc<dyn Store>) -> Self {
    Self(store)
  }

  /// Reads the contacts of a data centre.
  pub async fn read(&self, centre: &DataCentre) -> Result<BTreeSet<NodeId>, ConfigurationError> {
    Ok(self.fetch(centre).await?.0)
  }

  /// Replaces the contacts of a data centre if they differ; true if this call wrote them. If
  /// another node writes at the same time, its contacts stay.
  pub async fn refresh(
    &self,
    centre: &DataCentre,
    nodes: &BTreeSet<NodeId>,
  ) -> Result<bool, ConfigurationError> {
    let nodes = nodes
      .iter()
      .copied()
      .take(MAX_CONTACTS)
      .collect::<BTreeSet<_>>();
    let (found, expect) = self.fetch(centre).await?;
    if found == nodes {
      return Ok(false);
    }
    let key = key(centre);
    let value = serde_json::to_vec(&nodes).map_err(|error| corrupt_contacts(centre, &error))?;
    match self.0.put(&key, value.into(), expect).await {
      Ok(_) => Ok(true),
      Err(StoreError::Conflict { .. }) => Ok(false),
      Err(error) => Err(error.into()),
    }
  }

  async fn fetch(
    &self,
    centre: &DataCentre,
  ) -> Result<(BTreeSet<NodeId>, Expect), ConfigurationError> {
    let Some(found) = self.0.get(&key(centre)).await? else {
      return Ok((BTreeSet::new(), Expect::Absent));
    };
    match serde_json::from_slice(&found.value) {
      Ok(nodes) => Ok((nodes, Expect::Version(found.version))),
      Err(error) => Err(corrupt_contacts(centre, &error)),
    }
  }
}

fn key(centre: &DataCentre) -> String {
  format!("contacts/{centre}")
}

fn corrupt_contacts(centre: &DataCentre, error: &serde_json::Error) -> ConfigurationError {
  ConfigurationError::Corrupt {
    key: key(centre),
    cause: error.to_string(),
  }
}
