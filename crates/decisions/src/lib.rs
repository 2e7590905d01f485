//! Deterministic decisions: admission, limits, retries, routing, membership, idempotency keys, caps.

pub mod keys;
pub mod load;
pub mod membership;
pub mod quota;
