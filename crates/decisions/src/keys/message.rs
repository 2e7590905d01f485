//! Messages between a run and its witnesses, and between witnesses of two rosters.

use {
  crate::keys::{Coverage, KeyHash, Process, Roster, RunId},
  cactusyoke_model::IdempotencyKey,
  serde::{Deserialize, Serialize},
  std::time::Duration,
};

/// Request to a witness.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WitnessRequest {
  /// A statement about one run of one key.
  Key {
    /// Epoch of the roster that the run uses.
    epoch: u64,
    /// Key.
    key: IdempotencyKey,
    /// Run.
    run: RunId,
    /// What is asked.
    operation: Operation,
  },
  /// Stop granting under every roster before this one, and hand over the grants.
  Handover(HandoverRequest),
  /// Report whether the takeover for the roster of this epoch is over.
  Status {
    /// Epoch.
    epoch: u64,
  },
}

/// What a node states about a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
  /// The run asks for the key. `released` is a run that has certified that it will not run.
  Claim {
    /// Earlier holder of the key.
    released: Option<RunId>,
  },
  /// The run certifies that it did not and will not run.
  Withdraw,
  /// Another node passes on that the run has certified that it did not and will not run.
  ForwardWithdrawal,
}

/// Request of a new witness for the grants of an old one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverRequest {
  /// New roster.
  pub roster: Roster,
  /// New witness that asks.
  pub to: Process,
  /// Number of the requester's pass over the grants.
  pub pass: u64,
  /// Last key of the page before.
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
    /// Its takeover for this epoch is over, as far as it can be.
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
  /// The run is recorded as not run.
  Withdrawn,
  /// The witness does not grant under the epoch of the claim.
  WrongEpoch {
    /// Lowest epoch under which it may grant.
    epoch: u64,
  },
  /// The witness does not know the key's history yet.
  NotReady,
  /// The witness remembers as many keys as it may.
  Full,
}

/// One page of a handover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverPage {
  /// Witness that replies, with its incarnation.
  pub from: Process,
  /// New witness that asked: pass numbers begin anew with each of its incarnations.
  pub to: Process,
  /// Epoch of the new roster.
  pub epoch: u64,
  /// Pass of the request.
  pub pass: u64,
  /// Cursor of the request.
  pub after: Option<KeyHash>,
  /// Keys whose history the witness knew; `None` when it was no member of the old roster or
  /// never took it over, so that it only confirms that it does not grant under it.
  pub coverage: Option<Coverage>,
  /// Grants, in the order of their keys.
  pub grants: Vec<Grant>,
  /// More grants follow the last one.
  pub more: bool,
}

/// A remembered grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
  /// Key.
  pub key: KeyHash,
  /// Run that holds it.
  pub run: RunId,
  /// Time for which it is still remembered.
  pub remaining: Duration,
}
