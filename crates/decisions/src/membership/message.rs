//! Datagrams and their encoding.

use {
  super::{DatagramError, MAX_DATAGRAM, Member, Record, Status, UpstreamState, VERSION},
  cactusyoke_model::{Connections, DataCentre, Incarnation, NodeId, Revision, ServiceName, Slots},
  serde::{Deserialize, Serialize},
};

/// What each datagram carries of its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
  /// Version of the protocol; stands first in every version.
  pub version: u8,
  /// Data centre of the sender.
  pub data_centre: DataCentre,
  /// Configuration revision of the sender.
  pub revision: Revision,
  /// Digest of the live members that the sender knows.
  pub digest: [u8; 8],
}

/// Purpose of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
  /// Probe; zero for one whose answer is not awaited.
  Ping(u32),
  /// Answer to a probe.
  Ack(u32),
  /// Asks for a probe of another node; the answer is passed on under this number.
  PingVia(u32, NodeId),
  /// Carries updates only.
  Gossip,
  /// Asks for the records in which the views differ.
  Pull(Pull),
  /// Records in answer to a pull; the place at which the next pull is to start.
  Page(u8),
  /// Asks for the services of the data centre after a name.
  SummaryRequest(Option<ServiceName>),
  /// Services of the data centre.
  Summary(SummaryPart),
}

/// Digests of a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
  /// Number mixed into the digests, so that a collision does not repeat; with it one byte for
  /// each bucket is enough.
  pub salt: u32,
  /// Bucket with which the page is to start.
  pub start: u8,
  /// One digest for each bucket.
  pub digests: Vec<u8>,
}

/// Services of a data centre, a part in the order of their names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SummaryPart {
  /// Name after which the part begins.
  pub after: Option<ServiceName>,
  /// The part reaches to the last service.
  pub last: bool,
  /// A few nodes of the data centre.
  pub contacts: Vec<NodeId>,
  /// Instances serving, by service.
  pub services: Vec<(ServiceName, u32)>,
}

/// Record and reachability of a member of the sender's data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
  /// Address.
  pub node: NodeId,
  /// Life of the node.
  pub incarnation: Incarnation,
  /// Number of changes within the incarnation.
  pub version: u64,
  /// Reachability.
  pub status: Status,
  /// Life cycle of the upstream.
  pub state: UpstreamState,
  /// Service of the upstream.
  pub service: Option<ServiceName>,
  /// Slots of the upstream.
  pub slots: Slots,
  /// Connections of the upstream.
  pub connections: Connections,
}

impl From<&Member> for Update {
  fn from(member: &Member) -> Self {
    let record = &member.record;
    Self {
      node: record.node,
      incarnation: record.incarnation,
      version: record.version,
      status: member.status,
      state: record.state,
      service: record.service.clone(),
      slots: record.slots,
      connections: record.connections,
    }
  }
}

impl Update {
  /// Record of a node in `data_centre`.
  pub fn into_record(self, data_centre: DataCentre) -> Record {
    Record {
      node: self.node,
      incarnation: self.incarnation,
      data_centre,
      service: self.service,
      state: self.state,
      slots: self.slots,
      connections: self.connections,
      version: self.version,
    }
  }
}

/// Datagram under construction.
#[derive(Debug)]
pub struct DatagramBuilder {
  bytes: Vec<u8>,
  head: usize,
  limit: usize,
}

impl DatagramBuilder {
  /// Datagram of at most `limit` bytes to which updates can be added.
  pub fn new(header: &Header, message: &Message, limit: usize) -> Self {
    // These types hold nothing that cannot be encoded.
    let bytes = postcard::to_extend(&(header, message), Vec::with_capacity(128));
    let bytes = bytes.unwrap_or_default();
    Self {
      head: bytes.len(),
      bytes,
      limit: limit.min(MAX_DATAGRAM),
    }
  }

  /// Adds an update; false when it does not fit.
  pub fn add(&mut self, update: &Update) -> bool {
    let Ok(encoded) = postcard::to_stdvec(update) else {
      return false;
    };
    let fits = self.bytes.len() + encoded.len() <= self.limit;
    if fits {
      self.bytes.extend_from_slice(&encoded);
    }
    fits
  }

  /// Finished datagram with another message of the same length.
  pub fn finish_with(self, header: &Header, message: &Message) -> Vec<u8> {
    let mut other = Self::new(header, message, self.limit);
    other.bytes.extend_from_slice(&self.bytes[self.head..]);
    other.bytes
  }

  /// Finished datagram.
  pub fn finish(self) -> Vec<u8> {
    self.bytes
  }
}

/// Datagram as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
  /// What it carries of its sender.
  pub header: Header,
  /// Purpose.
  pub message: Message,
  /// Piggybacked updates.
  pub updates: Vec<Update>,
}

/// Decodes a datagram whole; a part is never used.
pub fn decode(bytes: &[u8]) -> Result<Datagram, DatagramError> {
  if bytes.len() > MAX_DATAGRAM {
    return Err(DatagramError::Oversized { len: bytes.len() });
  }
  if let Some(theirs) = bytes.first().copied().filter(|theirs| *theirs != VERSION) {
    return Err(DatagramError::Version { theirs });
  }
  let malformed = |_error| DatagramError::Malformed;
  let ((header, message), mut rest) =
    postcard::take_from_bytes::<(Header, Message)>(bytes).map_err(malformed)?;
  let mut updates = Vec::new();
  while !rest.is_empty() {
    let (update, after) = postcard::take_from_bytes::<Update>(rest).map_err(malformed)?;
    updates.push(update);
    rest = after;
  }
  Ok(Datagram {
    header,
    message,
    updates,
  })
}
