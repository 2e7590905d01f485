use {
  super::{CentreSummary, message::SummaryPart},
  cactusyoke_model::{DataCentre, NodeId, ServiceName},
  rand::{Rng, seq::IndexedRandom},
  std::{
    collections::BTreeMap,
    time::{Duration, Instant},
  },
};

/// Maximum number of contacts for each data centre.
const MAX_CONTACTS: usize = 8;
/// Maximum number of data centres. Bounds the memory, as the names come from datagrams.
const MAX_CENTRES: usize = 256;
/// Time without a message after which the instances of a data centre are no longer reported.
const STALE_AFTER: Duration = Duration::from_mins(1);

#[derive(Clone, Debug)]
struct CentreState {
  summary: CentreSummary,
  /// Last service received so far; the next part of the summary begins after it.
  cursor: Option<ServiceName>,
  /// Contact that has not yet answered the last request.
  asked: Option<NodeId>,
}

/// Summaries of the other data centres, requested from a few contacts in each.
#[derive(Clone, Debug, Default)]
pub struct RemoteCentres {
  /// Configured contacts, of any data centre.
  configured: Vec<NodeId>,
  known: BTreeMap<DataCentre, CentreState>,
  /// Position in `known` of the data centre to ask next.
  next_index: usize,
  changes: u64,
}

impl RemoteCentres {
  /// Replaces the configured contacts.
  pub fn set_contacts(&mut self, contacts: Vec<NodeId>) {
    self.configured = contacts;
  }

  /// Configured contacts that are not known to belong to another data centre.
  pub fn unassigned_contacts(&self) -> impl Iterator<Item = NodeId> {
    self.configured.iter().copied().filter(|node| {
      let mut centres = self.known.values();
      !centres.any(|centre| centre.summary.contacts.contains(node))
    })
  }

  /// Handles a message of a node of another data centre: the node becomes a contact.
  pub fn on_message(&mut self, name: &DataCentre, from: NodeId, now: Instant) {
    if !self.known.contains_key(name) {
      if self.known.len() >= MAX_CENTRES {
        return;
      }
      let centre = CentreState {
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
    self.changes += u64::from(add_contact(&mut centre.summary.contacts, from));
  }

  /// Merges a part of a summary.
  pub fn on_summary(&mut self, name: &DataCentre, part: SummaryPart) {
    let Some(centre) = self.known.get_mut(name) else {
      return;
    };
    let before = centre.summary.clone();
    for node in part.contacts {
      add_contact(&mut centre.summary.contacts, node);
    }
    // The services of late or duplicate parts are ignored: they begin after another service than
    // the part requested last.
    if part.after == centre.cursor {
      let last_name = part.services.last().map(|(service, _)| service.clone());
      let covered = |service: &ServiceName| {
        let starts_before = part.after.as_ref().is_none_or(|after| service > after);
        starts_before && (part.last || last_name.as_ref().is_some_and(|last| service <= last))
      };
      let instances = &mut centre.summary.instances;
      instances.retain(|service, _| !covered(service));
      instances.extend(part.services);
      centre.cursor = last_name.filter(|_| !part.last);
    }
    self.changes += u64::from(before != centre.summary);
  }

  /// Next contact to ask, and the service after which the requested part begins; data centres take
  /// turns.
  pub fn next_request(&mut self, rng: &mut impl Rng) -> Option<(NodeId, Option<ServiceName>)> {
    let count = self.known.len();
    let index = self.next_index.checked_rem(count)?;
    self.next_index = index + 1;
    let centre = self.known.values_mut().nth(index)?;
    let contacts = &mut centre.summary.contacts;
    if let Some(silent) = centre.asked.take() {
      // Configured contacts are kept: they may be the only ones left after a partition.
      if contacts.len() > 1 && !self.configured.contains(&silent) {
        contacts.retain(|node| *node != silent);
        self.changes += 1;
      }
    }
    let contact = contacts.choose(rng).copied();
    centre.asked = contact;
    Some((contact?, centre.cursor.clone()))
  }

  /// Clears the instances of data centres that have been silent for too long.
  pub fn expire(&mut self, now: Instant) {
    for centre in self.known.values_mut() {
      let silent = now.saturating_duration_since(centre.summary.last_heard) > STALE_AFTER;
      if silent && !centre.summary.instances.is_empty() {
        centre.summary.instances.clear();
        centre.cursor = None;
        self.changes += 1;
      }
    }
  }

  /// Summaries, ordered by name.
  pub fn summaries(&self) -> impl Iterator<Item = &CentreSummary> {
    self.known.values().map(|centre| &centre.summary)
  }

  /// Number of changes so far.
  pub const fn changes(&self) -> u64 {
    self.changes
  }
}

/// Adds a contact, replacing the oldest when the list is full; false when it is known already.
fn add_contact(contacts: &mut Vec<NodeId>, node: NodeId) -> bool {
  if contacts.contains(&node) {
    return false;
  }
  if contacts.len() == MAX_CONTACTS {
    contacts.remove(0);
  }
  contacts.push(node);
  true
}
