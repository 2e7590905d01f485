use {
  super::{Member, Record, Status, message::Update},
  cactusyoke_model::{DataCentre, NodeId},
  std::{
    collections::BTreeMap,
    time::{Duration, Instant},
  },
  xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Parts of a view that are compared on their own. At 1,200 members one has about nine records, a
/// third of a datagram.
pub const BUCKETS: usize = 128;
/// Time for which dead nodes are remembered, so that a node that was cut off for so long does not
/// bring them back.
const REMEMBERED: Duration = Duration::from_hours(24);
/// Dead nodes remembered; the oldest beyond are forgotten.
const MAX_DEAD: usize = 4_096;

/// How an update changed the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeResult {
  /// Unchanged before.
  Unchanged,
  /// The member is new or changed.
  Changed,
}

#[derive(Clone, Debug)]
struct Entry {
  member: Member,
  hash: u64,
  ended: Option<Instant>,
}

/// Members of the data centre with digests of the live ones.
///
/// Views converge because updates merge to the same member in any order: a higher incarnation
/// replaces a lower one; within an incarnation the end is final, a higher version replaces a
/// lower one, and within a version suspicion overrides its absence.
#[derive(Clone, Debug)]
pub struct MemberTable {
  data_centre: DataCentre,
  entries: BTreeMap<NodeId, Entry>,
  buckets: Vec<Vec<NodeId>>,
  digests: Vec<u64>,
  live: Vec<NodeId>,
  stale: bool,
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
  /// MemberTable that knows its own node only.
  pub fn new(own: Record, now: Instant) -> Self {
    let mut directory = Self {
      data_centre: own.data_centre.clone(),
      entries: BTreeMap::new(),
      buckets: vec![Vec::new(); BUCKETS],
      digests: vec![0; BUCKETS],
      live: Vec::new(),
      stale: true,
      changes: 0,
    };
    directory.put(
      Member {
        record: own,
        status: Status::Alive,
        since: now,
      },
      now,
    );
    directory
  }

  /// Adds or replaces a member.
  pub fn put(&mut self, member: Member, now: Instant) {
    let node = member.record.node;
    let place = bucket(node);
    let hash = hash(&member);
    let ended = (!member.is_live()).then_some(now);
    let entry = Entry {
      member,
      hash,
      ended,
    };
    match self.entries.insert(node, entry) {
      Some(before) => {
        self.digests[place] ^= before.hash;
        if let Some(entry) = self.entries.get_mut(&node)
          && ended.is_some()
        {
          entry.ended = before.ended.or(ended);
        }
      }
      None => self.buckets[place].push(node),
    }
    self.digests[place] ^= hash;
    self.stale = true;
    self.changes += 1;
  }

  /// Merges what another node says of a member.
  pub fn merge(&mut self, update: Update, now: Instant) -> MergeResult {
    let status = update.status;
    let Some(entry) = self.entries.get(&update.node) else {
      if status >= Status::Dead {
        // Nothing to correct here.
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
    let same = update.incarnation == before.record.incarnation;
    let ends = [before.status, status]
      .into_iter()
      .filter(|status| *status >= Status::Dead);
    member.status = match ends.max().filter(|_| same) {
      Some(end) => end,
      None if order.is_gt() => status,
      None if order.is_eq() => before.status.max(status),
      None => before.status,
    };
    if order.is_gt() {
      member.record = update.into_record(self.data_centre.clone());
      if !same || member.record.state != before.record.state {
        member.since = now;
      }
    }
    if member == *before {
      return MergeResult::Unchanged;
    }
    self.put(member, now);
    MergeResult::Changed
  }

  /// The member at an address.
  pub fn get(&self, node: NodeId) -> Option<&Member> {
    self.entries.get(&node).map(|entry| &entry.member)
  }

  /// All members, in the order of their addresses.
  pub fn iter(&self) -> impl Iterator<Item = &Member> {
    self.entries.values().map(|entry| &entry.member)
  }

  /// Dead members that ended at most `age` ago.
  pub fn dead(&self, now: Instant, age: Duration) -> impl Iterator<Item = NodeId> {
    self.entries.values().filter_map(move |entry| {
      let recent = now.saturating_duration_since(entry.ended?) <= age;
      let dead = entry.member.status == Status::Dead;
      (recent && dead).then_some(entry.member.record.node)
    })
  }

  /// Live members.
  pub fn live(&mut self) -> &[NodeId] {
    if self.stale {
      self.live.clear();
      let live = self.entries.values().filter(|entry| entry.member.is_live());
      self.live.extend(live.map(|entry| entry.member.record.node));
      self.stale = false;
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
      .fold(0_u64, |sum, (place, part)| {
        sum ^ part.rotate_left(place as u32)
      })
      .to_le_bytes()
  }

  /// Digest of each bucket, mixed with `salt`.
  pub fn digests(&self, salt: u32) -> Vec<u8> {
    let mix = |part: &u64| xxh3_64_with_seed(&part.to_le_bytes(), u64::from(salt)) as u8;
    self.digests.iter().map(mix).collect()
  }

  /// Members of a bucket.
  pub fn bucket(&self, place: usize) -> &[NodeId] {
    &self.buckets[place]
  }

  /// Forgets nodes that ended long ago.
  pub fn forget(&mut self, now: Instant) {
    let mut ended = self
      .entries
      .iter()
      .filter_map(|(node, entry)| Some((entry.ended?, *node)))
      .collect::<Vec<_>>();
    ended.sort_unstable();
    let surplus = ended.len().saturating_sub(MAX_DEAD);
    for (place, (since, node)) in ended.into_iter().enumerate() {
      if place >= surplus && now.saturating_duration_since(since) < REMEMBERED {
        break;
      }
      self.entries.remove(&node);
      self.buckets[bucket(node)].retain(|known| *known != node);
      self.changes += 1;
    }
  }
}
