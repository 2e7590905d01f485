use {
  super::{CentreSummary, message::SummaryPart},
  cactusyoke_model::{DataCentre, NodeId, ServiceName},
  rand::{Rng, seq::IndexedRandom},
  std::{
    collections::BTreeMap,
    time::{Duration, Instant},
  },
};

/// Contacts kept for each data centre.
const MAX_CONTACTS: usize = 8;
/// Data centres kept; the names come from datagrams.
const MAX_CENTRES: usize = 256;
/// Time without a message after which the services of a data centre are no longer reported.
const STALE: Duration = Duration::from_mins(1);

#[derive(Clone, Debug)]
struct Centre {
  summary: CentreSummary,
  /// Name after which the next part is asked for.
  cursor: Option<ServiceName>,
  asked: Option<NodeId>,
}

/// The other data centres: a few contacts and a summary for each.
#[derive(Clone, Debug, Default)]
pub struct RemoteCentres {
  configured: Vec<NodeId>,
  known: BTreeMap<DataCentre, Centre>,
  turn: usize,
  changes: u64,
}

impl RemoteCentres {
  /// Replaces the contacts that were passed in.
  pub fn set_contacts(&mut self, contacts: Vec<NodeId>) {
    self.configured = contacts;
  }

  /// Contacts that were passed in and are not known to be of another data centre.
  pub fn unplaced(&self) -> impl Iterator<Item = NodeId> {
    self.configured.iter().copied().filter(|node| {
      let mut centres = self.known.values();
      !centres.any(|centre| centre.summary.contacts.contains(node))
    })
  }

  /// Notes a sign of life.
  pub fn hear(&mut self, name: &DataCentre, from: NodeId, now: Instant) {
    if !self.known.contains_key(name) {
      if self.known.len() >= MAX_CENTRES {
        return;
      }
      let centre = Centre {
        summary: CentreSummary {
          data_centre: name.clone(),
          contacts: Vec::new(),
          instances: BTreeMap::new(),
          last_heard: now,
        },
        cursor: None,
        asked: None,
      };
      self.known.insert(name.clone(), centre);
      self.changes += 1;
    }
    let Some(centre) = self.known.get_mut(name) else {
      return;
    };
    centre.summary.last_heard = now;
    if centre.asked == Some(from) {
      centre.asked = None;
    }
    self.changes += u64::from(add(&mut centre.summary.contacts, from));
  }

  /// Takes in a part of a summary.
  pub fn on_summary(&mut self, name: &DataCentre, summary: SummaryPart) {
    let Some(centre) = self.known.get_mut(name) else {
      return;
    };
    let before = centre.summary.clone();
    for node in summary.contacts {
      add(&mut centre.summary.contacts, node);
    }
    // A late or repeated part is not the one that was asked for.
    if summary.after == centre.cursor {
      let last_name = summary.services.last().map(|(service, _)| service.clone());
      let covered = |service: &ServiceName| {
        let begun = summary.after.as_ref().is_none_or(|after| service > after);
        begun && (summary.last || last_name.as_ref().is_some_and(|last| service <= last))
      };
      let instances = &mut centre.summary.instances;
      instances.retain(|service, _| !covered(service));
      instances.extend(summary.services);
      centre.cursor = last_name.filter(|_| !summary.last);
    }
    self.changes += u64::from(before != centre.summary);
  }

  /// Whom to ask next for which part; data centres take turns.
  pub fn next(&mut self, rng: &mut impl Rng) -> Option<(NodeId, Option<ServiceName>)> {
    let count = self.known.len();
    let place = self.turn.checked_rem(count)?;
    self.turn = place + 1;
    let centre = self.known.values_mut().nth(place)?;
    let contacts = &mut centre.summary.contacts;
    if let Some(silent) = centre.asked.take() {
      // One that was passed in is kept: it may be all that remains after a partition.
      if contacts.len() > 1 && !self.configured.contains(&silent) {
        contacts.retain(|node| *node != silent);
        self.changes += 1;
      }
    }
    let contact = contacts.choose(rng).copied();
    centre.asked = contact;
    Some((contact?, centre.cursor.clone()))
  }

  /// Drops the services of data centres that have been silent for long.
  pub fn expire(&mut self, now: Instant) {
    for centre in self.known.values_mut() {
      let silent = now.saturating_duration_since(centre.summary.last_heard) > STALE;
      if silent && !centre.summary.instances.is_empty() {
        centre.summary.instances.clear();
        centre.cursor = None;
        self.changes += 1;
      }
    }
  }

  /// Summaries in the order of the names.
  pub fn summaries(&self) -> impl Iterator<Item = &CentreSummary> {
    self.known.values().map(|centre| &centre.summary)
  }

  /// Number of changes so far.
  pub const fn changes(&self) -> u64 {
    self.changes
  }
}

/// Adds a contact, in the place of the oldest when there are enough.
fn add(contacts: &mut Vec<NodeId>, node: NodeId) -> bool {
  if contacts.contains(&node) {
    return false;
  }
  if contacts.len() == MAX_CONTACTS {
    contacts.remove(0);
  }
  contacts.push(node);
  true
}
