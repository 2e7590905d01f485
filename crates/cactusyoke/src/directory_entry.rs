//! Entry of a node in the directory, as the platform's store keeps it.

use {
  bytes::Bytes,
  cactusyoke_configuration::Item,
  cactusyoke_decisions::membership::{MemberRecord, UpstreamState},
  cactusyoke_model::{Connections, DataCentre, Incarnation, NodeId, ServiceName, Slots},
  serde::{Deserialize, Serialize},
};

/// Common prefix of the keys of entries.
const KEY_PREFIX: &str = "node/";

/// Value of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
  incarnation: Incarnation,
  service: Option<ServiceName>,
  state: UpstreamState,
  slots: Slots,
  connections: Connections,
}

impl From<&MemberRecord> for Entry {
  fn from(record: &MemberRecord) -> Self {
    Self {
      incarnation: record.incarnation,
      service: record.service.clone(),
      state: record.state,
      slots: record.slots,
      connections: record.connections,
    }
  }
}

/// Key of the entry of a node.
pub(crate) fn key(record: &MemberRecord) -> String {
  format!("{KEY_PREFIX}{}/{}", record.data_centre, record.node)
}

/// Value of the entry of a node.
pub(crate) fn encode(record: &MemberRecord) -> Bytes {
  // Encoding cannot fail, as the entry is plain data.
  postcard::to_stdvec(&Entry::from(record))
    .unwrap_or_default()
    .into()
}

/// Node whose entry has this key; `None` for other keys.
pub(crate) fn node(key: &str) -> Option<NodeId> {
  parse_key(key).map(|(_, node)| node)
}

/// Record in an item of the store; `None` for other items, and for entries that are unreadable or
/// cannot be used.
pub(crate) fn read(item: &Item) -> Option<MemberRecord> {
  if !item.key.starts_with(KEY_PREFIX) {
    return None;
  }
  let record = parse(item).filter(MemberRecord::is_usable);
  if record.is_none() {
    tracing::warn!(event = "entry_unreadable", key = item.key);
  }
  record
}

fn parse(item: &Item) -> Option<MemberRecord> {
  let (data_centre, node) = parse_key(&item.key)?;
  let entry = postcard::from_bytes::<Entry>(&item.value).ok()?;
  Some(MemberRecord {
    node,
    incarnation: entry.incarnation,
    data_centre,
    service: entry.service,
    state: entry.state,
    slots: entry.slots,
    connections: entry.connections,
    version: item.version,
  })
}

fn parse_key(key: &str) -> Option<(DataCentre, NodeId)> {
  let (data_centre, node) = key.strip_prefix(KEY_PREFIX)?.split_once('/')?;
  Some((data_centre.parse().ok()?, node.parse().ok()?))
}
