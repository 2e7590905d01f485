use serde::{Deserialize, Serialize};

/// Where the receiving node takes a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Hop {
  /// To the instance beside it.
  Instance,
  /// To a node of its data centre that it chooses.
  Relay,
}
