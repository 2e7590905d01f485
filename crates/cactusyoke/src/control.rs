//! Control messages between nodes, encoded with `postcard`.

use {
  bytes::Bytes,
  cactusyoke_configuration::ConfigUpdate,
  cactusyoke_decisions::{
    keys::{Process, Roster, RunId, WitnessReply, WitnessRequest},
    load::{Fingerprint, QuarantineNotice},
  },
  cactusyoke_model::{IdempotencyKey, NodeId, Revision},
  serde::{Deserialize, Serialize, de::DeserializeOwned},
  std::{fmt, time::Duration},
};

use crate::kept_answer::RunOutcome;

/// Question to another node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Ask {
  /// Process behind the address.
  Identity,
  /// Request to the witness of keys.
  Witness(WitnessRequest),
  /// Roster of a group of witnesses, as far as the node knows it.
  Roster(u32),
  /// Roster of a group that the platform has stored.
  NewRoster(u32, Roster),
  /// Answer of a run that holds a key.
  KeyAnswer {
    /// Key.
    key: IdempotencyKey,
    /// Fingerprint of the request that asks.
    fingerprint: u64,
    /// Run that holds the key.
    run: RunId,
    /// Time that the asker waits.
    wait: Duration,
  },
  /// Notification that the node has adopted a revision.
  Adopted(Revision),
  /// Changes since a revision.
  Changes(Revision),
  /// Revision that the node has adopted.
  Revision,
  /// Request that was in flight when an upstream crashed.
  Suspect(Fingerprint),
  /// Quarantine of a request.
  Quarantine(QuarantineNotice),
}

/// Reply of another node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Reply {
  /// Done, nothing to tell.
  Done,
  /// Process behind the address.
  Identity(Process),
  /// Vote or handover.
  Witness(WitnessReply),
  /// Roster; `None` when the node knows none.
  Roster(Option<Roster>),
  /// What became of the run.
  KeyAnswer(RunOutcome),
  /// Changes, or everything.
  Changes(ConfigUpdate),
  /// Adopted revision.
  Revision(Revision),
}

/// Why a control message cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ControlError {
  from: NodeId,
}

impl fmt::Display for ControlError {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    write!(
      f,
      "a control message of node `{}` cannot be read: run the same version on both nodes",
      self.from
    )
  }
}

impl std::error::Error for ControlError {}

/// Encodes a message. The types are plain data, which always encodes.
pub(crate) fn encode(message: &impl Serialize) -> Bytes {
  postcard::to_stdvec(message).unwrap_or_default().into()
}

/// Decodes a message of `from`.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8], from: NodeId) -> Result<T, ControlError> {
  postcard::from_bytes(bytes).map_err(|_error| ControlError { from })
}
