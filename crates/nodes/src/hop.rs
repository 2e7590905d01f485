use serde::{Deserialize, Serialize};

/// Where the receiving node forwards a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Hop {
  /// To its own instance.
  Instance,
  /// To a node in its data centre, which it selects.
  Relay,
}
