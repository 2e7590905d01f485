use std::time::Duration;

/// Time between two exchanges of a node with a granter, up to [`FULL_PACE_NODES`] nodes.
const MIN_INTERVAL: Duration = Duration::from_millis(250);

/// Number of nodes from which on exchanges become rarer, so that a granter handles at most about
/// 1,000 requests a second.
const FULL_PACE_NODES: u32 = 250;

/// Times of the exchange between nodes and granters; the same for all nodes that know the same
/// number of nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
  /// Time between two exchanges of a node with a granter.
  pub interval: Duration,
}

impl Timing {
  /// Shortest time between two exchanges that are sent early because tokens run out.
  pub const MIN_GAP: Duration = Duration::from_millis(20);

  /// Time for which a granter may use a delegation, counted from its own earlier reply.
  pub const DELEGATION: Duration = Duration::from_secs(1);

  /// Time for which a node may use leased tokens, counted from its request.
  pub const LEASE: Duration = Duration::from_secs(1);

  /// Time after which nothing that rests on a delegation is usable any more.
  pub const HOLD: Duration = Duration::from_secs(2);

  /// Times in a cluster of `nodes` nodes.
  pub fn new(nodes: u32) -> Self {
    let factor = f64::from(nodes) / f64::from(FULL_PACE_NODES);
    Self {
      interval: MIN_INTERVAL.mul_f64(factor.clamp(1.0, 1.6)),
    }
  }

  /// Time without a reply after which an exchange has failed. Tokens are usable for a time that is
  /// counted from their request, so that a late reply is worth less but never too much.
  pub fn timeout(&self) -> Duration {
    (self.interval * 3).min(Self::LEASE * 3 / 4)
  }
}
