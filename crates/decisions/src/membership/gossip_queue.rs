use cactusyoke_model::NodeId;

/// Members for which the full number of repetitions is affordable. With more, each is repeated
/// less often and the rest is left to the comparison of views: when hundreds of nodes start
/// together, full repetition would use up the budget for more than a minute.
const FULL: usize = 32;
/// Fewest repetitions.
const FEWEST: u32 = 3;

/// Members whose present state is passed on, those sent least often first.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
  entries: Vec<(u32, NodeId)>,
}

impl GossipQueue {
  /// Passes on the state of a member, from now on.
  pub fn push(&mut self, node: NodeId) {
    self.entries.retain(|(_, queued)| *queued != node);
    self.entries.push((0, node));
  }

  /// True when nothing is to be passed on.
  pub fn is_empty(&self) -> bool {
    self.entries.is_empty()
  }

  /// Offers members to `add` until it declines; each is offered at most `limit` times
  /// in all, less often while there are many.
  pub fn offer(&mut self, limit: u32, mut add: impl FnMut(NodeId) -> bool) {
    let share = FULL as u32 * limit / (self.entries.len().max(1) as u32);
    let limit = limit.min(share.max(FEWEST));
    self.entries.sort_unstable();
    for (count, node) in &mut self.entries {
      if !add(*node) {
        break;
      }
      *count += 1;
    }
    self.entries.retain(|(count, _)| *count < limit);
  }
}
