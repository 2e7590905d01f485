//! Load decisions: admission, levels, retry budgets, routing and quarantine.
//!
//! Each type is a state machine without input or output. Time is an argument, and randomness comes
//! from a generator that the caller passes, so every run can be repeated from its seed.

mod candidate;
mod completion;
mod costs;
mod criteria;
mod end;
mod fingerprint;
mod gate;
mod gate_config;
mod ledger;
mod ledgers;
mod levels;
mod limit;
mod offer;
mod peer;
mod place;
mod quarantine;
mod queue;
mod rate;
mod retry_budget;
mod retry_ratio;
mod return_time;
mod router;
mod shares;
mod threshold;

pub use candidate::Candidate;
pub use completion::Completion;
pub use costs::Costs;
pub use criteria::Criteria;
pub use end::{CallEnd, Completed};
pub use fingerprint::Fingerprint;
pub use gate::Gate;
pub use gate_config::GateConfig;
pub use ledgers::Ledgers;
pub use levels::Levels;
pub use offer::{GateAction, Offer};
pub use quarantine::{Notice, Quarantine};
pub use queue::QueueOrder;
pub use retry_budget::{RetryBounds, RetryBudget};
pub use retry_ratio::RetryRatio;
pub use return_time::return_time;
pub use router::Router;
pub use shares::Shares;

use {
  ledger::Ledger,
  limit::Limit,
  peer::Peer,
  place::Place,
  queue::{Entry, Line, Queue, Waits},
  rate::Rate,
  std::{
    collections::HashMap,
    hash::{BuildHasherDefault, DefaultHasher},
  },
  threshold::Threshold,
};

/// Hash table with fixed keys, so that a run does not depend on a global random source.
type Table<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;
