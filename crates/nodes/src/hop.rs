use serde::{Deserialize, Serialize};

/// Next hop of a call: where the node that receives it over a link forwards it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Hop {
  /// To its own instance.
  Instance,
  /// To a node of its data centre, which the receiving node selects.
  Relay,
  /// To its own instance, unless the call would have to wait there.
  FreeInstance,
}
