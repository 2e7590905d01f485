use {
  super::Stream,
  bytes::{Bytes, BytesMut},
  std::{collections::HashMap, sync::Arc, time::Instant},
  tokio::sync::oneshot,
};

/// Call in flight.
#[derive(Debug)]
pub struct Entry {
  pub stream: Arc<Stream>,
  /// Position of its `Open` frame in the outbox; zero on the accepting side.
  pub position: u64,
}

/// Control message that waits for its reply.
#[derive(Debug)]
pub struct PendingAsk {
  pub buffer: BytesMut,
  /// Takes the reply; `None` when the peer declined.
  pub reply: oneshot::Sender<Option<Bytes>>,
}

/// What is in flight on one link.
#[derive(Debug)]
pub struct State {
  pub streams: HashMap<u64, Entry>,
  pub asks: HashMap<u64, PendingAsk>,
  /// Accepting side: incomplete control messages.
  pub partial: HashMap<u64, BytesMut>,
  pub partial_bytes: usize,
  /// Number of the last call or message opened or seen.
  pub last: u64,
  pub closed: bool,
  /// Accepting side: new calls are refused.
  pub draining: bool,
  pub received: Instant,
  pub used: Instant,
}

impl State {
  pub fn new(now: Instant) -> Self {
    Self {
      streams: HashMap::new(),
      asks: HashMap::new(),
      partial: HashMap::new(),
      partial_bytes: 0,
      last: 0,
      closed: false,
      draining: false,
      received: now,
      used: now,
    }
  }

  /// Calls and messages in flight.
  pub fn in_flight(&self) -> usize {
    self.streams.len() + self.asks.len() + self.partial.len()
  }
}
