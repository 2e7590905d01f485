//! Load decisions: admission, levels, retry budgets, routing and quarantine.
//!
//! Each type is a state machine without input or output. Time is an argument, and randomness comes
//! from a generator that the caller passes, so every run can be repeated from its seed.
//!
//! A root request enters the system from outside; a nested call is made by an upstream while it
//! serves a request. Nested calls take precedence, since shedding one wastes the work already done
//! for its request.

mod call_sample;
mod candidate;
mod completion;
mod costs;
mod crash_log;
mod criteria;
mod fingerprint;
mod gate;
mod gate_config;
mod gate_counts;
mod instance_stats;
mod interval_waits;
mod ledger;
mod ledgers;
mod level_controller;
mod levels;
mod limit;
mod offer_outcome;
mod quarantine;
mod queue;
mod rate;
mod rate_limit;
mod retry_budget;
mod retry_delay;
mod retry_ratio;
mod router;
mod tenant_shares;
mod ticket_state;
mod usual_share;
mod weighted_round_robin;

pub use call_sample::{CallOutcome, CallSample};
pub use candidate::Candidate;
pub use completion::Completion;
pub use costs::Costs;
pub use crash_log::{Crash, CrashLog, Loss};
pub use criteria::Criteria;
pub use fingerprint::Fingerprint;
pub use gate::Gate;
pub use gate_config::GateConfig;
pub use gate_counts::{GateCounts, LaneCounts};
pub use ledgers::Ledgers;
pub use levels::Levels;
pub use offer_outcome::{GateAction, OfferOutcome};
pub use quarantine::{CrashId, QUARANTINE_CRASHES, Quarantine, QuarantineNotice};
pub use queue::QueueOrder;
pub use retry_budget::{RetryBounds, RetryBudget};
pub use retry_delay::retry_delay;
pub use retry_ratio::RetryRatio;
pub use router::Router;
pub use tenant_shares::TenantShares;
pub use usual_share::UsualShare;
pub use weighted_round_robin::WeightedRoundRobin;

use {
  instance_stats::InstanceStats,
  interval_waits::IntervalWaits,
  ledger::Ledger,
  level_controller::LevelController,
  limit::Limit,
  queue::{Lane, MaxWaits, Queue, QueuedCall},
  rate::Rate,
  rate_limit::RateLimit,
  std::{
    collections::HashMap,
    hash::{BuildHasherDefault, DefaultHasher},
  },
  ticket_state::TicketState,
};

/// Hash map with a fixed hash seed, so that runs are reproducible.
type DeterministicMap<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;
