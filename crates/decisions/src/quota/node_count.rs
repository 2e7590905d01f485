use std::{
  collections::VecDeque,
  time::{Duration, Instant},
};

/// Time for which nodes that are no longer known are counted, since they may be cut off and still
/// use their part of the caps.
const RETENTION: Duration = Duration::from_mins(2);

/// Largest number of nodes known in the last two minutes.
#[derive(Clone, Debug, Default)]
pub struct NodeCount {
  /// Decreasing counts with the times at which they were last seen.
  seen: VecDeque<(u32, Instant)>,
}

impl NodeCount {
  /// Records the number of nodes known now and returns the number to count with.
  pub fn update(&mut self, count: u32, now: Instant) -> u32 {
    while self.seen.back().is_some_and(|(known, _)| *known <= count) {
      self.seen.pop_back();
    }
    self.seen.push_back((count, now));
    while self
      .seen
      .front()
      .is_some_and(|(_, at)| now.saturating_duration_since(*at) > RETENTION)
    {
      self.seen.pop_front();
    }
    self.seen.front().map_or(count, |(known, _)| *known).max(1)
  }
}
