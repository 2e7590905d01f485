use {
  super::{
    CentreSummary, GossipQueue, Member, MemberTable, MembersConfig, Prober, Record, RemoteCentres,
    SendBudget, Status, UpstreamInfo,
  },
  cactusyoke_model::{Incarnation, NodeId, Revision},
  rand::{SeedableRng, rngs::StdRng},
  std::{
    collections::BTreeMap,
    time::{Duration, Instant},
  },
};

/// Tick gap beyond which this node counts as paused: what it missed is not held against others.
const PAUSE: Duration = Duration::from_secs(1);

/// Difference between this view and that of another node.
#[derive(Clone, Copy, Debug)]
pub(super) struct Mismatch {
  pub(super) with: NodeId,
  pub(super) since: Instant,
}

/// Membership of one node.
///
/// The owner passes in datagrams and calls [`Members::tick`] every 100 ms or so; both add the
/// datagrams to be sent to `out`.
#[derive(Clone, Debug)]
pub struct Members {
  pub(super) config: MembersConfig,
  pub(super) own: Record,
  pub(super) revision: Revision,
  pub(super) table: MemberTable,
  pub(super) centres: RemoteCentres,
  pub(super) queue: GossipQueue,
  pub(super) prober: Prober,
  pub(super) budget: SendBudget,
  pub(super) suspects: BTreeMap<NodeId, Instant>,
  pub(super) mismatch: Option<Mismatch>,
  /// Views have agreed with another node's since the start.
  pub(super) joined: bool,
  pub(super) page_start: u8,
  pub(super) next_pull: Instant,
  pub(super) next_gossip: Instant,
  pub(super) next_contact: Instant,
  pub(super) next_survey: Instant,
  pub(super) next_forget: Instant,
  pub(super) ticked: Instant,
  pub(super) rng: StdRng,
  pub(super) left: bool,
}

impl Members {
  /// Membership that knows its own node only.
  pub fn new(config: MembersConfig, now: Instant) -> Self {
    let mut rng = StdRng::seed_from_u64(config.seed);
    let own = Record::new(config.node, config.incarnation, config.data_centre.clone());
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
      suspects: BTreeMap::new(),
      mismatch: None,
      joined: false,
      page_start: 0,
      next_pull: now,
      next_gossip: now,
      next_contact: now,
      next_survey: now,
      next_forget: now,
      ticked: now,
      rng,
      left: false,
      config,
    }
  }

  /// This node's own record.
  pub const fn own_record(&self) -> &Record {
    &self.own
  }

  /// Changes what this node reports of its upstream.
  pub fn set_upstream(&mut self, own: UpstreamInfo, now: Instant) {
    if self.own.set_upstream(own) {
      self.publish_own(Status::Alive, now);
    }
  }

  /// Changes the configuration revision that this node reports.
  pub const fn set_revision(&mut self, revision: Revision) {
    self.revision = revision;
  }

  /// Replaces the contacts that were passed in.
  pub fn set_contacts(&mut self, contacts: Vec<NodeId>) {
    self.centres.set_contacts(contacts);
  }

  /// Members of this data centre in the order of their addresses, this node and the dead included.
  pub fn iter(&self) -> impl Iterator<Item = &Member> {
    self.table.iter()
  }

  /// The member at an address.
  pub fn get(&self, node: NodeId) -> Option<&Member> {
    self.table.get(node)
  }

  /// Copy of all members for publication.
  pub fn snapshot(&self) -> Vec<Member> {
    self.table.iter().cloned().collect()
  }

  /// The other data centres.
  pub fn centres(&self) -> Vec<CentreSummary> {
    self.centres.summaries().cloned().collect()
  }

  /// Number that rises whenever [`Members::snapshot`] or [`Members::centres`] changes.
  pub const fn changes(&self) -> u64 {
    self.table.changes() + self.centres.changes()
  }

  /// Reports that this node leaves. Nothing is sent afterwards.
  pub fn leave(&mut self, now: Instant, out: &mut Vec<(NodeId, Vec<u8>)>) {
    if self.left {
      return;
    }
    self.own.version += 1;
    self.publish_own(Status::Left, now);
    self.budget.fill(now);
    self.send_farewell(out);
    self.left = true;
  }

  /// Does what is due.
  pub fn tick(&mut self, now: Instant, out: &mut Vec<(NodeId, Vec<u8>)>) {
    if self.left {
      return;
    }
    let gap = now.saturating_duration_since(self.ticked);
    self.ticked = now;
    if gap > PAUSE {
      self.prober.current = None;
      self.prober.next = now;
      self
        .suspects
        .values_mut()
        .for_each(|deadline| *deadline += gap);
    }
    self.budget.fill(now);
    self.end_suspicions(now);
    self.probe(now, out);
    self.contact(now, out);
    self.pull(now, out);
    self.gossip(now, out);
    self.survey(now, out);
    if now >= self.next_forget {
      self.next_forget = now + Duration::from_secs(10);
      self.table.forget(now);
      self.centres.expire(now);
    }
  }

  fn end_suspicions(&mut self, now: Instant) {
    let due = |(node, deadline): (&NodeId, &Instant)| (now >= *deadline).then_some(*node);
    let ended = self.suspects.iter().filter_map(due).collect::<Vec<_>>();
    for node in ended {
      self.suspects.remove(&node);
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

  /// Suspects a node that left a probe unanswered.
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
    self.watch_suspect(node, now);
  }

  /// Starts the time for which a suspected node may refute.
  pub(super) fn watch_suspect(&mut self, node: NodeId, now: Instant) {
    let live = self.table.live().len();
    let deadline = now + self.config.suspicion_timeout(live);
    self.suspects.entry(node).or_insert(deadline);
  }

  /// Stores the own record and passes it on.
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

  /// Refutes what others say of this node: a suspicion with a higher version, a death with a
  /// higher incarnation.
  pub(super) fn refute(&mut self, told: (Incarnation, u64), status: Status, now: Instant) {
    let (incarnation, version) = told;
    let own = (self.own.incarnation, self.own.version);
    if self.left || incarnation < self.own.incarnation {
      return;
    }
    let dead = status >= Status::Dead;
    let foreign = incarnation > self.own.incarnation;
    if dead || foreign {
      // An incarnation that cannot be exceeded was not written by a clock; it is ignored.
      let Some(raised) = incarnation.0.checked_add(1) else {
        return;
      };
      self.own.incarnation = Incarnation(raised);
    }
    let suspected = status == Status::Suspect && told >= own;
    if dead || foreign || suspected || told > own {
      self.own.version = self.own.version.max(version).saturating_add(1);
      self.publish_own(Status::Alive, now);
    }
  }
}
