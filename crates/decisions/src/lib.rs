//! Deterministic decisions: admission, limits, retries, routing, membership, idempotency keys.

pub mod keys;
pub mod load;
pub mod membership;
