//! Datagrams and their encoding.

use {
  super::{DatagramError, MAX_DATAGRAM, Member, MemberRecord, Status, UpstreamState, VERSION},
  cactusyoke_model::{Connections, DataCentre, Incarnation, NodeId, Revision, ServiceName, Slots},
  serde::{Deserialize, Serialize},
};

/// Header of each datagram: data about the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
  /// Protocol version; the first field in every version of the protocol.
  pub version: u8,
  /// Data centre of the sender.
  pub data_centre: DataCentre,
  /// Configuration revision of the sender.
  pub revision: Revision,
  /// Digest of the live members in the sender's view.
  pub digest: [u8; 8],
}

/// Purpose of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
  /// Probe with its sequence number; zero for a probe whose answer is not tracked.
  Ping(u32),
  /// Answer to the probe with this sequence number.
  Ack(u32),
  /// Asks the receiver to probe another node and to forward the answer with this sequence number
  /// (indirect probe).
  PingVia(u32, NodeId),
  /// Carries updates only.
  Gossip,
  /// Requests the records in which the views differ.
  Pull(Pull),
  /// Records in answer to a pull, with the bucket at which the next pull should start.
  Page(u8),
  /// Requests a part of the data centre's summary: the services after this name.
  SummaryRequest(Option<ServiceName>),
  /// Part of the data centre's summary.
  Summary(SummaryPart),
}

/// Digests of the requester's view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
  /// Random number mixed into the digests, so that a collision does not repeat; this makes one byte
  /// for each bucket sufficient.
  pub salt: u32,
  /// Bucket at which the page should start.
  pub start: u8,
  /// One digest for each bucket.
  pub digests: Vec<u8>,
}

/// Part of a data centre's summary: consecutive services in the order of their names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SummaryPart {
  /// Service after which the part begins; `None` for the first part.
  pub after: Option<ServiceName>,
  /// The part includes the last service.
  pub last: bool,
  /// A few nodes of the data centre.
  pub contacts: Vec<NodeId>,
  /// Number of serving instances by service.
  pub services: Vec<(ServiceName, u32)>,
}

/// Record and status of a member of the sender's data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
  /// Address.
  pub node: NodeId,
  /// Incarnation of the node.
  pub incarnation: Incarnation,
  /// Number of changes within the incarnation.
  pub version: u64,
  /// Status of the node.
  pub status: Status,
  /// State of the upstream.
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
  /// Converts the update to the record of a node in `data_centre`.
  pub fn into_record(self, data_centre: DataCentre) -> MemberRecord {
    MemberRecord {
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

/// Builder of a datagram with piggybacked updates.
#[derive(Debug)]
pub struct DatagramBuilder {
  bytes: Vec<u8>,
  /// Length of the encoded header and message, which the updates follow.
  header_len: usize,
  limit: usize,
}

impl DatagramBuilder {
  /// Starts a datagram of at most `limit` bytes.
  pub fn new(header: &Header, message: &Message, limit: usize) -> Self {
    // Header and message contain only types that always encode.
    let bytes = postcard::to_extend(&(header, message), Vec::with_capacity(128));
    let bytes = bytes.unwrap_or_default();
    Self {
      header_len: bytes.len(),
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

  /// Finishes the datagram with another message of the same encoded length.
  pub fn finish_with(self, header: &Header, message: &Message) -> Vec<u8> {
    let mut other = Self::new(header, message, self.limit);
    other
      .bytes
      .extend_from_slice(&self.bytes[self.header_len..]);
    other.bytes
  }

  /// Finishes the datagram.
  pub fn finish(self) -> Vec<u8> {
    self.bytes
  }
}

/// Received datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
  /// Data about the sender.
  pub header: Header,
  /// Purpose.
  pub message: Message,
  /// Piggybacked updates.
  pub updates: Vec<Update>,
}

/// Decodes a whole datagram; fails when any part of it is malformed.
pub fn decode(bytes: &[u8]) -> Result<Datagram, DatagramError> {
  if bytes.len() > MAX_DATAGRAM {
    return Err(DatagramError::Oversized { len: bytes.len() });
  }
  if let Some(peer_version) = bytes
    .first()
    .copied()
    .filter(|peer_version| *peer_version != VERSION)
  {
    return Err(DatagramError::Version { peer_version });
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
