use {
  super::Stream,
  bytes::{Bytes, BytesMut},
  std::{collections::HashMap, sync::Arc, time::Instant},
  tokio::sync::oneshot,
};

/// Call in flight.
#[derive(Debug)]
pub struct ActiveCall {
  pub stream: Arc<Stream>,
  /// Byte position of its `Open` frame in the outbox; zero on the accepting side.
  pub position: u64,
}

/// Control message that this node sent and that waits for its reply.
#[derive(Debug)]
pub struct PendingControl {
  /// Chunks of the reply received so far.
  pub buffer: BytesMut,
  /// Receives the reply; `None` when the peer declined.
  pub reply: oneshot::Sender<Option<Bytes>>,
}

/// Calls and control messages in flight on one link.
#[derive(Debug)]
pub struct ConnectionState {
  pub streams: HashMap<u64, ActiveCall>,
  /// Opening side: control messages that wait for their replies.
  pub control_requests: HashMap<u64, PendingControl>,
  /// Accepting side: control messages of which only the first chunks have arrived.
  pub incomplete: HashMap<u64, BytesMut>,
  /// Total length of the chunks in `incomplete`.
  pub incomplete_bytes: usize,
  /// Id of the last stream opened by this node or, on the accepting side, by the peer.
  pub last_stream: u64,
  pub closed: bool,
  /// Accepting side: new calls are refused.
  pub draining: bool,
  pub last_received: Instant,
  pub last_used: Instant,
}

impl ConnectionState {
  pub fn new(now: Instant) -> Self {
    Self {
      streams: HashMap::new(),
      control_requests: HashMap::new(),
      incomplete: HashMap::new(),
      incomplete_bytes: 0,
      last_stream: 0,
      closed: false,
      draining: false,
      last_received: now,
      last_used: now,
    }
  }

  /// Number of calls and control messages in flight.
  pub fn in_flight(&self) -> usize {
    self.streams.len() + self.control_requests.len() + self.incomplete.len()
  }
}
