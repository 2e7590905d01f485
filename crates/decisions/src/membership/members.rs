use {
  super::{
    CentreSummary, GossipQueue, Member, MemberRecord, MemberTable, MembersConfig, Prober,
    RemoteCentres, SendBudget, Status, UpstreamInfo,
  },
  cactusyoke_model::{Incarnation, NodeId, Revision},
  rand::{SeedableRng, rngs::StdRng},
  std::{
    collections::BTreeMap,
    time::{Duration, Instant},
  },
};

/// Gap between ticks beyond which this node was paused, so that answers missed in the meantime are
/// not held against other nodes.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Difference between the view of this node and those of other nodes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Mismatch {
  /// Last node whose view differed.
  pub(super) peer: NodeId,
  /// Time since which no received digest was equal.
  pub(super) since: Instant,
}

/// State machine of the membership protocol on one node, without input or output.
///
/// The owner passes in received datagrams and calls [`Members::tick`] about every 100 ms; both
/// append the datagrams to send to `out`.
#[derive(Clone, Debug)]
pub struct Members {
  pub(super) config: MembersConfig,
  pub(super) own: MemberRecord,
  pub(super) revision: Revision,
  pub(super) table: MemberTable,
  pub(super) centres: RemoteCentres,
  pub(super) queue: GossipQueue,
  pub(super) prober: Prober,
  pub(super) budget: SendBudget,
  /// Times at which suspected nodes are declared dead.
  pub(super) suspicion_deadlines: BTreeMap<NodeId, Instant>,
  /// Latest difference; `None` when the last digest received was equal.
  pub(super) mismatch: Option<Mismatch>,
  /// The view has agreed with that of another node at least once since the start.
  pub(super) joined: bool,
  /// Bucket at which the next pulled page should start.
  pub(super) page_start: u8,
  pub(super) next_pull: Instant,
  pub(super) next_gossip: Instant,
  pub(super) next_contact: Instant,
  pub(super) next_summary: Instant,
  pub(super) next_cleanup: Instant,
  pub(super) last_tick: Instant,
  pub(super) rng: StdRng,
  pub(super) left: bool,
}

impl Members {
  /// Membership that knows only its own node.
  pub fn new(config: MembersConfig, now: Instant) -> Self {
    let mut rng = StdRng::seed_from_u64(config.seed);
    let own = MemberRecord::new(config.node, config.incarnation, config.data_centre.clone());
    let mut centres = RemoteCentres::default();
    centres.set_contacts(config.contacts.clone());
    let mut queue = GossipQueue::default();
    queue.push(config.node);
    Self {
      table: MemberTable::new(own.clone(), now),
      prober: Prober::new(now, config.probe_period, &mut rng),
      budget: SendBudget::new(config.bytes_per_second, now),
      own,
      revision: Revision::default(),
      centres,
      queue,
      suspicion_deadlines: BTreeMap::new(),
      mismatch: None,
      joined: false,
      page_start: 0,
      next_pull: now,
      next_gossip: now,
      next_contact: now,
      next_summary: now,
      next_cleanup: now,
      last_tick: now,
      rng,
      left: false,
      config,
    }
  }

  /// This node's own record.
  pub const fn own_record(&self) -> &MemberRecord {
    &self.own
  }

  /// Changes what this node reports of its upstream.
  pub fn set_upstream(&mut self, upstream: UpstreamInfo, now: Instant) {
    if self.own.set_upstream(upstream) {
      self.publish_own(Status::Alive, now);
    }
  }

  /// Changes the configuration revision that this node reports.
  pub const fn set_revision(&mut self, revision: Revision) {
    self.revision = revision;
  }

  /// Replaces the configured contacts.
  pub fn set_contacts(&mut self, contacts: Vec<NodeId>) {
    self.centres.set_contacts(contacts);
  }

  /// Members of this data centre ordered by address, including this node and dead members.
  pub fn iter(&self) -> impl Iterator<Item = &Member> {
    self.table.iter()
  }

  /// Member with this address.
  pub fn get(&self, node: NodeId) -> Option<&Member> {
    self.table.get(node)
  }

  /// Copy of all members for publication.
  pub fn snapshot(&self) -> Vec<Member> {
    self.table.iter().cloned().collect()
  }

  /// Summaries of the other data centres.
  pub fn centres(&self) -> Vec<CentreSummary> {
    self.centres.summaries().cloned().collect()
  }

  /// Counter that increases whenever [`Members::snapshot`] or [`Members::centres`] changes.
  pub const fn changes(&self) -> u64 {
    self.table.changes() + self.centres.changes()
  }

  /// Announces that this node leaves. Nothing is sent afterwards.
  pub fn leave(&mut self, now: Instant, out: &mut Vec<(NodeId, Vec<u8>)>) {
    if self.left {
      return;
    }
    self.own.version += 1;
    self.publish_own(Status::Left, now);
    self.budget.refill(now);
    self.announce_leave(out);
    self.left = true;
  }

  /// Performs the actions that are due.
  pub fn tick(&mut self, now: Instant, out: &mut Vec<(NodeId, Vec<u8>)>) {
    if self.left {
      return;
    }
    let gap = now.saturating_duration_since(self.last_tick);
    self.last_tick = now;
    if gap > PAUSE_THRESHOLD {
      self.prober.current = None;
      self.prober.next = now;
      self
        .suspicion_deadlines
        .values_mut()
        .for_each(|deadline| *deadline += gap);
    }
    self.budget.refill(now);
    self.expire_suspicions(now);
    self.probe(now, out);
    self.contact_missing(now, out);
    self.pull(now, out);
    self.gossip(now, out);
    self.request_summary(now, out);
    if now >= self.next_cleanup {
      self.next_cleanup = now + Duration::from_secs(10);
      self.table.prune(now);
      self.centres.expire(now);
    }
  }

  fn expire_suspicions(&mut self, now: Instant) {
    let due = |(node, deadline): (&NodeId, &Instant)| (now >= *deadline).then_some(*node);
    let expired = self
      .suspicion_deadlines
      .iter()
      .filter_map(due)
      .collect::<Vec<_>>();
    for node in expired {
      self.suspicion_deadlines.remove(&node);
      if let Some(member) = self.table.get(node)
        && member.status == Status::Suspect
      {
        let mut member = member.clone();
        member.status = Status::Dead;
        self.table.put(member, now);
        self.queue.push(node);
      }
    }
  }

  /// Suspects a node that did not answer a probe.
  pub(super) fn suspect(&mut self, node: NodeId, now: Instant) {
    let Some(member) = self.table.get(node) else {
      return;
    };
    if member.status != Status::Alive {
      return;
    }
    let mut member = member.clone();
    member.status = Status::Suspect;
    self.table.put(member, now);
    self.queue.push(node);
    self.start_suspicion_timer(node, now);
  }

  /// Starts the time within which a suspected node can refute the suspicion.
  pub(super) fn start_suspicion_timer(&mut self, node: NodeId, now: Instant) {
    let live = self.table.live().len();
    let deadline = now + self.config.suspicion_timeout(live);
    self.suspicion_deadlines.entry(node).or_insert(deadline);
  }

  /// Stores this node's own record and queues it for gossip.
  pub(super) fn publish_own(&mut self, status: Status, now: Instant) {
    let before = self.table.get(self.own.node);
    let since = before
      .filter(|member| member.record.state == self.own.state)
      .map_or(now, |member| member.since);
    let member = Member {
      record: self.own.clone(),
      status,
      since,
    };
    self.table.put(member, now);
    self.queue.push(self.own.node);
  }

  /// Refutes wrong information about this node: a suspicion with a higher version, a death with a
  /// higher incarnation.
  pub(super) fn refute(&mut self, claimed: (Incarnation, u64), status: Status, now: Instant) {
    let (incarnation, version) = claimed;
    let own = (self.own.incarnation, self.own.version);
    if self.left || incarnation < self.own.incarnation {
      return;
    }
    let dead = status >= Status::Dead;
    let newer = incarnation > self.own.incarnation;
    if dead || newer {
      // The highest possible incarnation cannot come from a clock, nor be exceeded: ignored.
      let Some(raised) = incarnation.0.checked_add(1) else {
        return;
      };
      self.own.incarnation = Incarnation(raised);
    }
    let suspected = status == Status::Suspect && claimed >= own;
    if dead || newer || suspected || claimed > own {
      self.own.version = self.own.version.max(version).saturating_add(1);
      self.publish_own(Status::Alive, now);
    }
  }
}
