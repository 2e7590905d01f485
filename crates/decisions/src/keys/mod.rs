//! At-most-once execution of requests with an idempotency key.
//!
//! Before a node calls the upstream for a request with a key, its attempt ([`Run`]) needs grants
//! from two of the key's three witnesses ([`Witness`]) under one list of members ([`Roster`]). A
//! witness grants a key to one run and keeps the grant until it expires or the run is withdrawn: a
//! withdrawn run did not call the upstream and never will. A new roster takes effect for a key once
//! two of the key's three old witnesses have stopped granting and handed over their grants
//! ([`Takeover`], [`RosterChange`]). The node that ran the key keeps the answer for callers that
//! send the key again ([`Answers`]).
//!
//! The types do no input or output: messages, timeouts and times go in, messages and decisions
//! come out. docs/keys.md describes the protocol and the assumptions that it rests on.

mod answer_limits;
mod answers;
mod coverage;
mod grants;
mod key_hash;
mod lookup;
mod message;
mod process;
mod roster;
mod roster_change;
mod run;
mod run_id;
mod takeover;
mod withdrawn_runs;
mod witness;

pub use answer_limits::AnswerLimits;
pub use answers::Answers;
pub use coverage::Coverage;
pub use key_hash::KeyHash;
pub use lookup::Lookup;
pub use message::{
  Grant, HandoverPage, HandoverRequest, Operation, Vote, WitnessReply, WitnessRequest,
};
pub use process::Process;
pub use roster::{Roster, RosterError};
pub use roster_change::{ChangeError, ChangeStep, RosterChange, StoreReply};
pub use run::{Run, RunAction, RunState};
pub use run_id::RunId;
pub use takeover::Takeover;
pub use witness::Witness;

use {grants::Grants, std::time::Duration};

/// Time after its start within which a run must have its grants.
///
/// A witness keeps a grant for the key memory plus this time, so a run whose process was paused
/// cannot count a grant that has expired in the meantime.
pub const MAX_CLAIM_TIME: Duration = Duration::from_secs(10);

/// Default time for which a key is remembered.
pub const KEY_MEMORY: Duration = Duration::from_hours(24);
