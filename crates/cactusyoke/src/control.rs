//! Control requests and replies between nodes, encoded with `postcard`.

use {
  bytes::Bytes,
  cactusyoke_configuration::ConfigUpdate,
  cactusyoke_decisions::{
    keys::{Process, Roster, RunId, WitnessReply, WitnessRequest},
    load::{CrashId, Fingerprint, QuarantineNotice},
    membership::{DirectoryUpdate, FollowerState, Freshness},
    quota::{LeaseReply, LeaseRequest},
  },
  cactusyoke_model::{IdempotencyKey, NodeId, Revision},
  serde::{Deserialize, Serialize, de::DeserializeOwned},
  std::{fmt, time::Duration},
};

use crate::kept_answer::RunOutcome;

/// Control request to another node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ControlRequest {
  /// Asks which process serves the address of the node.
  Identity,
  /// Request to the witness of idempotency keys on the node.
  Witness(WitnessRequest),
  /// Asks for the roster of a group of witnesses, as known to the node.
  Roster(u32),
  /// Delivers the roster of a group after it was stored in the platform.
  NewRoster(u32, Roster),
  /// Asks for the answer of the run that holds a key.
  KeyAnswer {
    /// Key.
    key: IdempotencyKey,
    /// Fingerprint of the request that asks for the answer.
    fingerprint: u64,
    /// Run that holds the key.
    run: RunId,
    /// Time for which the asking node waits.
    wait: Duration,
  },
  /// Reports that the sending node has adopted a revision.
  Adopted(Revision),
  /// Asks for the configuration changes since a revision.
  Changes(Revision),
  /// Asks for the revision that the node has adopted.
  Revision,
  /// Reports the requests that were in flight when an upstream crashed.
  Suspects(CrashId, Vec<Fingerprint>),
  /// Reports requests in quarantine.
  Quarantines(Vec<QuarantineNotice>),
  /// Reports that an operator has released a request from quarantine.
  Release(Fingerprint),
  /// Asks for changes of the directory of nodes.
  Directory {
    /// What the asking node knows.
    state: FollowerState,
    /// Time for which the asked node waits until it has news.
    wait: Duration,
  },
  /// Asks the granter of a group of tenants for tokens of their usage caps.
  Leases(LeaseRequest),
}

/// Reply to a [`ControlRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ControlReply {
  /// The request was handled; there is nothing to return.
  Done,
  /// Process that serves the address.
  Identity(Process),
  /// Reply of the witness, such as a vote or a handover.
  Witness(WitnessReply),
  /// Roster; `None` when the node knows none.
  Roster(Option<Roster>),
  /// Outcome of the run.
  KeyAnswer(RunOutcome),
  /// Changes, or the whole configuration.
  Changes(ConfigUpdate),
  /// Adopted revision.
  Revision(Revision),
  /// Changes of the directory; `None` when the node does not know it.
  Directory(Option<DirectoryReply>),
  /// Tokens; `None` for a request that a later one has overtaken.
  Leases(Option<LeaseReply>),
}

/// What a node knows of the directory of nodes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct DirectoryReply {
  /// What the asking node lacks.
  pub(crate) update: DirectoryUpdate,
  /// How the answering node is kept up to date.
  pub(crate) freshness: Freshness,
  /// Adopted revision of the configuration.
  pub(crate) revision: Revision,
}

/// A control message that cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ControlDecodeError {
  from: NodeId,
}

impl fmt::Display for ControlDecodeError {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    write!(
      f,
      "a control message of node `{}` cannot be read: run the same version on both nodes",
      self.from
    )
  }
}

impl std::error::Error for ControlDecodeError {}

/// Encodes a message. Encoding cannot fail, as the types are plain data.
pub(crate) fn encode(message: &impl Serialize) -> Bytes {
  postcard::to_stdvec(message).unwrap_or_default().into()
}

/// Decodes a message from node `from`.
pub(crate) fn decode<T: DeserializeOwned>(
  bytes: &[u8],
  from: NodeId,
) -> Result<T, ControlDecodeError> {
  postcard::from_bytes(bytes).map_err(|_error| ControlDecodeError { from })
}
