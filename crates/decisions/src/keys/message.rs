//! Messages between a run and its witnesses, and between the witnesses of successive rosters.

use {
  crate::keys::{Coverage, KeyHash, Process, Roster, RunId},
  cactusyoke_model::IdempotencyKey,
  serde::{Deserialize, Serialize},
  std::time::Duration,
};

/// Request to a witness.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WitnessRequest {
  /// Claim or release a key for a run.
  Key {
    /// Epoch of the roster that the run uses.
    epoch: u64,
    /// Key.
    key: IdempotencyKey,
    /// Run.
    run: RunId,
    /// Operation.
    operation: Operation,
  },
  /// Stop granting under rosters before the one in the request, and hand over the grants.
  Handover(HandoverRequest),
  /// Report whether the takeover for the roster of this epoch is over.
  Status {
    /// Epoch.
    epoch: u64,
  },
}

/// What a witness is asked to do for a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
  /// Grant the key to the run.
  Claim {
    /// Earlier holder of the key, which was withdrawn.
    released: Option<RunId>,
  },
  /// Release the key: the run did not and will not call the upstream.
  Withdraw,
  /// The same, from a node that learned of the withdrawal from the process of the run.
  ForwardWithdrawal,
}

/// Request of a new witness for the grants of an old one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverRequest {
  /// New roster.
  pub roster: Roster,
  /// New witness that asks.
  pub to: Process,
  /// Number of the pass, in which the requester fetches all grants page by page.
  pub pass: u64,
  /// Last key of the page before; `None` for the first page.
  pub after: Option<KeyHash>,
}

/// Reply of a witness.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WitnessReply {
  /// Vote on one run of one key.
  Key {
    /// Witness, with its incarnation.
    witness: Process,
    /// Epoch of the request.
    epoch: u64,
    /// Key.
    key: IdempotencyKey,
    /// Run of the request.
    run: RunId,
    /// Vote.
    vote: Vote,
  },
  /// Grants of an old witness.
  Handover(HandoverPage),
  /// State of a takeover.
  Status {
    /// Witness, with its incarnation.
    witness: Process,
    /// Epoch of the request.
    epoch: u64,
    /// Whether it expects no more grants from old members in its takeover for this epoch.
    done: bool,
  },
}

/// Vote of a witness on a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Vote {
  /// The key is granted to the run.
  Granted,
  /// Another run holds the key.
  Denied {
    /// Holder.
    holder: RunId,
  },
  /// The run is withdrawn.
  Withdrawn,
  /// The witness does not grant under the epoch of the claim.
  WrongEpoch {
    /// Lowest epoch under which it may grant.
    epoch: u64,
  },
  /// The witness does not know yet whether another run holds the key.
  NotReady,
  /// The witness has reached its limit of keys.
  Full,
}

/// One page of a handover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverPage {
  /// Witness that replies, with its incarnation.
  pub from: Process,
  /// New witness that asked. Each of its incarnations numbers its own passes.
  pub to: Process,
  /// Epoch of the new roster.
  pub epoch: u64,
  /// Pass of the request.
  pub pass: u64,
  /// Cursor of the request.
  pub after: Option<KeyHash>,
  /// Keys whose grants the witness knew. `None` when it was no member of the old roster or never
  /// adopted it: it then only confirms that it does not grant under that roster.
  pub coverage: Option<Coverage>,
  /// Grants in the order of their keys.
  pub grants: Vec<Grant>,
  /// Whether more grants follow on a next page.
  pub more: bool,
}

/// A remembered grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
  /// Key.
  pub key: KeyHash,
  /// Run that holds it.
  pub run: RunId,
  /// Time until it expires.
  pub remaining: Duration,
}
