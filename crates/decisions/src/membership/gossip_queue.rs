use cactusyoke_model::NodeId;

/// Number of queued members up to which each is sent the full number of times. With more, each is
/// sent less often and what nodes miss is pulled: when hundreds of nodes start together, full
/// repetition would use up the send budget for more than a minute.
const FULL_REPEAT_MEMBERS: usize = 32;
/// Minimum number of times that each member is sent.
const MIN_REPEATS: u32 = 3;

/// Queue of members whose current state is to be sent, those sent least often first.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
  entries: Vec<(u32, NodeId)>,
}

impl GossipQueue {
  /// Queues a member whose state changed, or starts its repetitions again.
  pub fn push(&mut self, node: NodeId) {
    self.entries.retain(|(_, queued)| *queued != node);
    self.entries.push((0, node));
  }

  /// True when nothing is queued.
  pub fn is_empty(&self) -> bool {
    self.entries.is_empty()
  }

  /// Offers members to `add` until it returns false. Each is offered at most `limit` times in
  /// total, less often while many are queued.
  pub fn offer(&mut self, limit: u32, mut add: impl FnMut(NodeId) -> bool) {
    let share = FULL_REPEAT_MEMBERS as u32 * limit / (self.entries.len().max(1) as u32);
    let limit = limit.min(share.max(MIN_REPEATS));
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
