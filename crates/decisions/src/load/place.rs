use {super::Line, std::time::Instant};

/// Where a ticket of a gate is.
#[derive(Clone, Copy, Debug)]
pub(super) enum Place {
  Queued { line: Line },
  Running { half: usize, since: Instant },
}
