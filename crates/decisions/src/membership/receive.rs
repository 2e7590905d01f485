use {
  super::{
    BUCKETS, DatagramError, Member, Members, MergeResult, Status,
    members::Mismatch,
    message::{self, Message, Pull, SummaryPart, Update},
  },
  cactusyoke_model::{NodeId, Revision, ServiceName},
  rand::seq::IndexedRandom,
  std::{
    collections::BTreeMap,
    time::{Duration, Instant},
  },
};

/// Delay until the next pull after a page that contained new records.
const PULL_DELAY_CHANGED: Duration = Duration::from_millis(100);
/// Delay until the next pull after a page without new records.
const PULL_DELAY_UNCHANGED: Duration = Duration::from_secs(2);
/// Maximum size of the services in one part of a summary, bytes; leaves room for the rest of the
/// datagram, even with names of maximum length.
const SUMMARY_BYTES: usize = 900;
/// Size of an entry of a summary without the name, bytes: the count and the length of the name.
const SUMMARY_ENTRY_BYTES: usize = 6;
/// Number of contacts named in a part of a summary.
const SUMMARY_CONTACTS: usize = 2;

impl Members {
  /// Handles a received datagram. Returns the sender and its configuration revision when that is
  /// higher than this node's.
  pub fn handle(
    &mut self,
    from: NodeId,
    datagram: &[u8],
    now: Instant,
    out: &mut Vec<(NodeId, Vec<u8>)>,
  ) -> Result<Option<(NodeId, Revision)>, DatagramError> {
    let datagram = message::decode(datagram)?;
    if self.left || from == self.own.node {
      return Ok(None);
    }
    self.budget.refill(now);
    let header = datagram.header;
    let local = header.data_centre == self.own.data_centre;
    if local {
      let forward = !matches!(datagram.message, Message::Page(_));
      let changed = self.merge(datagram.updates, forward, now);
      if let Message::Page(next) = datagram.message {
        self.page_start = next;
        self.next_pull = now
          + if changed {
            PULL_DELAY_CHANGED
          } else {
            PULL_DELAY_UNCHANGED
          };
      }
      self.compare_digests(from, header.digest, now);
    } else {
      self.centres.on_message(&header.data_centre, from, now);
    }
    match datagram.message {
      Message::Ping(seq) => self.send_ack(from, seq, local, out),
      Message::Ack(seq) => {
        if let Some((requester, seq)) = self.prober.on_ack(seq) {
          self.send_ack(requester, seq, true, out);
        }
      }
      Message::PingVia(seq, target) if local => {
        // Only members are probed for others, so that a datagram cannot make this node send to
        // arbitrary addresses.
        if self.table.get(target).is_some() {
          let own_seq = self.prober.start_indirect(from, seq, now);
          self.send_ping(target, own_seq, out);
        }
      }
      Message::Pull(pull) if local => self.send_page(from, &pull, out),
      Message::SummaryRequest(after) => self.send_summary(from, after, out),
      Message::Summary(part) if !local => {
        self.centres.on_summary(&header.data_centre, part);
      }
      Message::Gossip
      | Message::Page(_)
      | Message::PingVia(..)
      | Message::Pull(_)
      | Message::Summary(_) => {}
    }
    let newer = header.revision > self.revision;
    Ok(newer.then_some((from, header.revision)))
  }

  /// Merges updates; true when they contained something new. With `forward`, what is new is queued
  /// for gossip.
  fn merge(&mut self, updates: Vec<Update>, forward: bool, now: Instant) -> bool {
    let mut changed = false;
    for update in updates {
      let (node, status) = (update.node, update.status);
      if node == self.own.node {
        self.refute((update.incarnation, update.version), status, now);
        continue;
      }
      if self.table.merge(update, now) == MergeResult::Unchanged {
        continue;
      }
      changed = true;
      if forward {
        self.queue.push(node);
      }
      self.suspicion_deadlines.remove(&node);
      match self.table.get(node).map(|member| member.status) {
        Some(Status::Alive) => self.prober.add(node, &mut self.rng),
        Some(Status::Suspect) => self.start_suspicion_timer(node, now),
        Some(Status::Dead | Status::Left) | None => {}
      }
    }
    changed
  }

  fn compare_digests(&mut self, from: NodeId, digest: [u8; 8], now: Instant) {
    if self.table.digest() == digest {
      self.joined = true;
      self.mismatch = None;
      return;
    }
    let since = self.mismatch.map_or(now, |mismatch| mismatch.since);
    self.mismatch = Some(Mismatch { peer: from, since });
  }

  fn send_page(&mut self, to: NodeId, pull: &Pull, out: &mut Vec<(NodeId, Vec<u8>)>) {
    let own = self.table.digests(pull.salt);
    let differs = |index: &usize| pull.digests.get(*index) != Some(&own[*index]);
    let start = usize::from(pull.start) % BUCKETS;
    let order = (start..BUCKETS).chain(0..start).filter(differs);
    let mut updates = Vec::new();
    let mut next = start;
    for index in order {
      let members = self.table.bucket(index).iter();
      let bucket = members.filter_map(|node| self.table.get(*node));
      updates.push((index, bucket.map(Update::from).collect::<Vec<_>>()));
      // More records than a page can hold, however short the names are.
      if updates
        .iter()
        .map(|(_, bucket)| bucket.len())
        .sum::<usize>()
        > 60
      {
        break;
      }
    }
    let Some(mut builder) = self.start_page() else {
      return;
    };
    let mut count = 0;
    for (index, mut bucket) in updates {
      next = index;
      if count == 0 {
        // Shuffled, so that repeated pulls of a bucket larger than a page get all of its records.
        rand::seq::SliceRandom::shuffle(bucket.as_mut_slice(), &mut self.rng);
      }
      let fitted = bucket
        .iter()
        .take_while(|update| builder.add(update))
        .count();
      count += fitted;
      if fitted < bucket.len() {
        break;
      }
      next = (index + 1) % BUCKETS;
    }
    if count > 0 {
      self.send(to, self.finish_page(builder, next as u8), out);
    }
  }

  fn send_summary(
    &mut self,
    to: NodeId,
    after: Option<ServiceName>,
    out: &mut Vec<(NodeId, Vec<u8>)>,
  ) {
    let mut counts = BTreeMap::<ServiceName, u32>::new();
    let serving = self.table.iter().filter_map(Member::served_service);
    for service in serving.filter(|service| after.as_ref().is_none_or(|after| *service > after)) {
      if let Some(count) = counts.get_mut(service) {
        *count += 1;
      } else {
        counts.insert(service.clone(), 1);
      }
    }
    let count = counts.len();
    let mut size = 0;
    let fits = |(service, _): &(ServiceName, u32)| {
      size += service.as_str().len() + SUMMARY_ENTRY_BYTES;
      size <= SUMMARY_BYTES
    };
    let services = counts.into_iter().take_while(fits).collect::<Vec<_>>();
    let last = services.len() == count;
    let live = self.table.live();
    let contacts = live
      .choose_multiple(&mut self.rng, SUMMARY_CONTACTS)
      .copied()
      .collect();
    let part = SummaryPart {
      after,
      last,
      contacts,
      services,
    };
    self.send_without_updates(to, &Message::Summary(part), out);
  }
}
