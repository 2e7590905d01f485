use {
  super::{Member, MemberRecord, Status, message::Update},
  cactusyoke_model::{DataCentre, NodeId},
  std::{
    collections::BTreeMap,
    time::{Duration, Instant},
  },
  xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Number of parts of a view that are compared separately. With 1,200 members, one holds about nine
/// records, a third of a datagram.
pub const BUCKETS: usize = 128;
/// Time for which dead nodes and those that left are remembered, so that a node that was cut off
/// for up to this time does not bring them back.
const ENDED_RETENTION: Duration = Duration::from_hours(24);
/// Maximum number of nodes remembered after their end; beyond it the oldest are forgotten.
const MAX_ENDED: usize = 4_096;

/// Effect of an update on the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeResult {
  /// The update contained nothing new.
  Unchanged,
  /// The member was added or changed.
  Changed,
}

#[derive(Clone, Debug)]
struct Entry {
  member: Member,
  /// Hash of the member; zero unless it is live.
  hash: u64,
  /// Time at which the member died or left.
  ended: Option<Instant>,
}

/// Members of the data centre, with digests of the live ones for comparison between nodes.
///
/// Views converge because updates merge to the same result in any order: a higher incarnation
/// replaces a lower one; within an incarnation, death and leaving are final and a higher version
/// replaces a lower one; within a version, suspicion overrides being alive.
#[derive(Clone, Debug)]
pub struct MemberTable {
  data_centre: DataCentre,
  entries: BTreeMap<NodeId, Entry>,
  buckets: Vec<Vec<NodeId>>,
  /// XOR of the hashes of the members of each bucket.
  digests: Vec<u64>,
  live: Vec<NodeId>,
  /// `live` must be computed again.
  live_stale: bool,
  changes: u64,
}

fn bucket(node: NodeId) -> usize {
  let bytes = postcard::to_stdvec(&node).unwrap_or_default();
  xxh3_64(&bytes) as usize % BUCKETS
}

fn hash(member: &Member) -> u64 {
  if !member.is_live() {
    return 0;
  }
  let bytes = postcard::to_stdvec(&Update::from(member)).unwrap_or_default();
  xxh3_64(&bytes)
}

impl MemberTable {
  /// Table that contains only the own node.
  pub fn new(own: MemberRecord, now: Instant) -> Self {
    let mut table = Self {
      data_centre: own.data_centre.clone(),
      entries: BTreeMap::new(),
      buckets: vec![Vec::new(); BUCKETS],
      digests: vec![0; BUCKETS],
      live: Vec::new(),
      live_stale: true,
      changes: 0,
    };
    table.put(
      Member {
        record: own,
        status: Status::Alive,
        since: now,
      },
      now,
    );
    table
  }

  /// Adds or replaces a member.
  pub fn put(&mut self, member: Member, now: Instant) {
    let node = member.record.node;
    let index = bucket(node);
    let hash = hash(&member);
    let ended = (!member.is_live()).then_some(now);
    let entry = Entry {
      member,
      hash,
      ended,
    };
    match self.entries.insert(node, entry) {
      Some(before) => {
        self.digests[index] ^= before.hash;
        if let Some(entry) = self.entries.get_mut(&node)
          && ended.is_some()
        {
          entry.ended = before.ended.or(ended);
        }
      }
      None => self.buckets[index].push(node),
    }
    self.digests[index] ^= hash;
    self.live_stale = true;
    self.changes += 1;
  }

  /// Merges an update about a member.
  pub fn merge(&mut self, update: Update, now: Instant) -> MergeResult {
    let status = update.status;
    let Some(entry) = self.entries.get(&update.node) else {
      if status >= Status::Dead {
        // The view does not have the member, so there is nothing to correct.
        return MergeResult::Unchanged;
      }
      let record = update.into_record(self.data_centre.clone());
      let since = now;
      self.put(
        Member {
          record,
          status,
          since,
        },
        now,
      );
      return MergeResult::Changed;
    };
    let before = &entry.member;
    let mut member = before.clone();
    let order =
      (update.incarnation, update.version).cmp(&(before.record.incarnation, before.record.version));
    if update.incarnation < before.record.incarnation {
      return MergeResult::Unchanged;
    }
    let same_incarnation = update.incarnation == before.record.incarnation;
    let ends = [before.status, status]
      .into_iter()
      .filter(|status| *status >= Status::Dead);
    member.status = match ends.max().filter(|_| same_incarnation) {
      Some(end) => end,
      None if order.is_gt() => status,
      None if order.is_eq() => before.status.max(status),
      None => before.status,
    };
    if order.is_gt() {
      member.record = update.into_record(self.data_centre.clone());
      if !same_incarnation || member.record.state != before.record.state {
        member.since = now;
      }
    }
    if member == *before {
      return MergeResult::Unchanged;
    }
    self.put(member, now);
    MergeResult::Changed
  }

  /// Member with this address.
  pub fn get(&self, node: NodeId) -> Option<&Member> {
    self.entries.get(&node).map(|entry| &entry.member)
  }

  /// All members, including dead ones and those that left, ordered by address.
  pub fn iter(&self) -> impl Iterator<Item = &Member> {
    self.entries.values().map(|entry| &entry.member)
  }

  /// Members that died at most `age` ago.
  pub fn recently_dead(&self, now: Instant, age: Duration) -> impl Iterator<Item = NodeId> {
    self.entries.values().filter_map(move |entry| {
      let recent = now.saturating_duration_since(entry.ended?) <= age;
      let dead = entry.member.status == Status::Dead;
      (recent && dead).then_some(entry.member.record.node)
    })
  }

  /// Live members, ordered by address.
  pub fn live(&mut self) -> &[NodeId] {
    if self.live_stale {
      self.live.clear();
      let live = self.entries.values().filter(|entry| entry.member.is_live());
      self.live.extend(live.map(|entry| entry.member.record.node));
      self.live_stale = false;
    }
    &self.live
  }

  /// Number of changes so far.
  pub const fn changes(&self) -> u64 {
    self.changes
  }

  /// Digest of the live members.
  pub fn digest(&self) -> [u8; 8] {
    let parts = self.digests.iter().enumerate();
    parts
      .fold(0_u64, |sum, (index, part)| {
        sum ^ part.rotate_left(index as u32)
      })
      .to_le_bytes()
  }

  /// One-byte digest of each bucket, mixed with `salt`.
  pub fn digests(&self, salt: u32) -> Vec<u8> {
    let mix = |part: &u64| xxh3_64_with_seed(&part.to_le_bytes(), u64::from(salt)) as u8;
    self.digests.iter().map(mix).collect()
  }

  /// Members of a bucket.
  pub fn bucket(&self, index: usize) -> &[NodeId] {
    &self.buckets[index]
  }

  /// Removes members that died or left long ago.
  pub fn prune(&mut self, now: Instant) {
    let mut ended = self
      .entries
      .iter()
      .filter_map(|(node, entry)| Some((entry.ended?, *node)))
      .collect::<Vec<_>>();
    ended.sort_unstable();
    let surplus = ended.len().saturating_sub(MAX_ENDED);
    for (index, (since, node)) in ended.into_iter().enumerate() {
      if index >= surplus && now.saturating_duration_since(since) < ENDED_RETENTION {
        break;
      }
      self.entries.remove(&node);
      self.buckets[bucket(node)].retain(|known| *known != node);
      self.changes += 1;
    }
  }
}
