use std::time::Instant;

/// Where a ticket of a gate is.
#[derive(Clone, Copy, Debug)]
pub(super) enum Place {
  Queued { class: usize },
  Running { since: Instant },
}
