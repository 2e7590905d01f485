use {super::Lane, std::time::Instant};

/// State of a call that a gate holds.
#[derive(Clone, Copy, Debug)]
pub(super) enum TicketState {
  Queued { lane: Lane },
  Running { half: usize, since: Instant },
}
