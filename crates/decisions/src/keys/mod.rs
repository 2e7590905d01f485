//! At-most-once execution of requests with an idempotency key.
//!
//! A node that is to run a keyed request ([`Run`]) first collects grants of two of the key's three
//! witnesses ([`Witness`]) under one roster ([`Roster`]). A witness grants a key to one run and
//! keeps the grant until its time is over or the run has certified that it did not and will not
//! run. A new roster takes effect for a key once two of the key's three old witnesses have stopped
//! granting and handed over their grants ([`Takeover`], [`RosterChange`]). The node that ran the
//! key keeps the answer for later senders ([`Answers`]).
//!
//! The machines do no input or output: messages, timeouts and times go in, messages and decisions
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
mod withdrawn;
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
/// A grant is remembered for the key memory and this time, so a run that was paused for longer
/// than its grants are remembered cannot count them.
pub const MAX_CLAIM_TIME: Duration = Duration::from_secs(10);

/// Default time for which a key is remembered.
pub const KEY_MEMORY: Duration = Duration::from_hours(24);
