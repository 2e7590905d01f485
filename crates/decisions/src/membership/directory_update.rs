use {
  super::MemberRecord,
  cactusyoke_model::NodeId,
  serde::{Deserialize, Serialize},
};

/// Change of the directory of nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryChange {
  /// The entry of a node was written; the version of the record is that of the entry.
  Written(MemberRecord),
  /// The entry of a node was removed at a version of the directory.
  Removed(NodeId, u64),
}

/// What one node lacks of the directory that another node knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryUpdate {
  /// Version of the directory that the update leads to.
  pub version: u64,
  /// The changes are all entries of the directory; nodes without one are unlisted.
  pub complete: bool,
  /// Changes.
  pub changes: Vec<DirectoryChange>,
}
