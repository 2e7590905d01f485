//! Membership by probe, indirect probe, suspicion and piggybacked updates (SWIM).

mod centre_summary;
mod member;
mod record;

pub use centre_summary::CentreSummary;
pub use member::{Member, Status};
pub use record::{LifeState, Own, Record};
