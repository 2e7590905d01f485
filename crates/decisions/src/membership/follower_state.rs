use {
  super::Freshness,
  cactusyoke_model::Revision,
  serde::{Deserialize, Serialize},
};

/// What a node knows when it asks the node that it follows for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowerState {
  /// Version up to which it knows the directory; `None` for all entries.
  pub version: Option<u64>,
  /// Adopted revision of the configuration.
  pub revision: Revision,
  /// How the asked node was kept up to date when it last replied; `None` for the first request.
  pub source: Option<Freshness>,
}

impl FollowerState {
  /// True when a node with this version of the directory, revision and freshness has news for this
  /// one, which it tells at once.
  pub fn lacks(&self, version: Option<u64>, revision: Revision, freshness: Freshness) -> bool {
    let newer = version > self.version || revision > self.revision;
    version.is_some() && (newer || Some(freshness) != self.source)
  }
}
