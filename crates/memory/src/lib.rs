//! Account of the memory that a process holds for its peers: buffers of connections, request bodies,
//! answers that are not read, and what links between nodes hold.
//!
//! Each part that allocates for a peer has a [`Holder`] and states there how much is allocated, not
//! how many bytes the peer sent. Above the first of the thresholds in [`MemoryBudget`], the account
//! closes holders that wait for their peer, those without progress for longest first. Above the
//! second, new requests with bodies are refused, so that the rest is left for ordinary requests. An
//! account without a budget only counts.
//!
//! Progress is numbered, not timed: only its order decides, so that the account needs no clock.

mod account;
mod budget;
mod eviction;
mod holder;
mod kind;

pub use account::{MemoryAccount, MemoryPressure, MemoryUsage};
pub use budget::MemoryBudget;
pub use eviction::{Candidate, choose};
pub use holder::Holder;
pub use kind::MemoryKind;
