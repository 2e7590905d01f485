use {
  cactusyoke_memory::{Holder, MemoryAccount, MemoryKind},
  http::HeaderMap,
  std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed},
  },
  tokio_util::sync::{CancellationToken, WaitForCancellationFuture},
};

/// Memory of an open connection besides its read buffer, bytes: its task, the state and the write
/// buffer of the HTTP server.
const CONNECTION_BYTES: usize = 16 * 1024;

/// Read buffer that the HTTP server allocates first, bytes.
const FIRST_BUFFER: usize = 8 * 1024;

/// Memory of a request in progress besides its head and body, bytes: what is needed to send it.
const REQUEST_BYTES: usize = 8 * 1024;

/// Most bytes of a body that the handler keeps, to be able to send them again. Must not be less than
/// the handler keeps; the rest of a body is passed on.
const MAX_KEPT: usize = 128 * 1024;

/// Memory that one connection of a caller holds.
#[derive(Debug)]
pub(crate) struct ConnectionMemory {
  holder: Holder,
  account: Arc<MemoryAccount>,
  closed: CancellationToken,
  /// Size of the largest read buffer so far, bytes. The HTTP server rarely allocates a smaller one.
  buffer: AtomicUsize,
  /// Bytes of the request in progress without its body.
  request: AtomicUsize,
  /// Received bytes of the body of that request, as far as they may be kept.
  body: AtomicUsize,
  blocked: AtomicBool,
}

impl ConnectionMemory {
  /// Memory of a connection that was just opened.
  pub(crate) fn open(account: &Arc<MemoryAccount>) -> Self {
    let closed = CancellationToken::new();
    let close = closed.clone();
    let holder = account.open(move || close.cancel());
    // The caller owes a request.
    holder.set_owing(true);
    holder.set(MemoryKind::Connections, CONNECTION_BYTES + FIRST_BUFFER);
    Self {
      holder,
      account: Arc::clone(account),
      closed,
      buffer: AtomicUsize::new(FIRST_BUFFER),
      request: AtomicUsize::new(0),
      body: AtomicUsize::new(0),
      blocked: AtomicBool::new(false),
    }
  }

  /// Waits until the account closes the connection.
  pub(crate) fn closed(&self) -> WaitForCancellationFuture<'_> {
    self.closed.cancelled()
  }

  /// Records a read buffer with room for `bytes`.
  pub(crate) fn record_buffer(&self, bytes: usize) {
    if bytes > self.buffer.load(Relaxed) {
      self.buffer.store(bytes, Relaxed);
      // A frame that is not taken yet keeps the previous buffer allocated.
      self.hold(MemoryKind::Connections, CONNECTION_BYTES + 2 * bytes);
    }
  }

  /// True when reading must wait until closed connections have given their memory back. Many can be
  /// ready to be read before the first of them is dropped.
  pub(crate) fn must_wait(&self) -> bool {
    self.account.must_wait()
  }

  /// Records that the caller sent something.
  pub(crate) fn record_read(&self) {
    self.holder.record_progress();
  }

  /// Starts a request; false when there is no room for it. `body` is the size of its body, `None` when
  /// that is not declared.
  pub(crate) fn begin_request(&self, headers: &HeaderMap, body: Option<u64>) -> bool {
    self.holder.set_owing(false);
    let body = body.map_or(1, |bytes| bytes.min(MAX_KEPT as u64) as usize);
    if !self.account.admits(body) {
      return false;
    }
    let fields = headers
      .iter()
      .map(|(name, value)| name.as_str().len() + value.len());
    // The head is copied for the call that is made of it.
    let request = REQUEST_BYTES + 2 * fields.sum::<usize>();
    self.request.store(request, Relaxed);
    self.body.store(0, Relaxed);
    // Nothing has been sent, so that the request can still be refused.
    self.holder.set(MemoryKind::Requests, request)
  }

  /// Records that the caller owes bytes of a body, or does not any more.
  pub(crate) fn set_owing(&self, owing: bool) {
    self.holder.set_owing(owing);
  }

  fn hold(&self, kind: MemoryKind, bytes: usize) {
    if !self.holder.set(kind, bytes) {
      self.holder.close();
    }
  }

  /// Records received bytes of the body of the request.
  pub(crate) fn record_body(&self, bytes: usize) {
    let before = self.body.load(Relaxed);
    if before >= MAX_KEPT {
      return;
    }
    let received = before + bytes;
    self.body.store(received, Relaxed);
    let allocated = received.next_power_of_two().min(MAX_KEPT);
    if allocated != before.next_power_of_two().min(MAX_KEPT) || before == 0 {
      self.hold(MemoryKind::Requests, self.request.load(Relaxed) + allocated);
    }
  }

  /// Records the end of the request, whose answer follows.
  pub(crate) fn end_request(&self) {
    // What still arrives is passed on, not kept.
    self.body.store(MAX_KEPT, Relaxed);
    self.holder.set(MemoryKind::Requests, 0);
  }

  /// Records bytes of an answer that wait to be written.
  pub(crate) fn record_answer(&self, bytes: usize) {
    if !self.holder.add(MemoryKind::Answers, bytes) {
      self.holder.close();
    }
  }

  /// Records the end of the answer. The caller owes the next request.
  pub(crate) fn end_answer(&self) {
    self.holder.set_owing(true);
  }

  /// Records written bytes.
  pub(crate) fn record_write(&self, bytes: usize) {
    self.holder.subtract(MemoryKind::Answers, bytes);
    if self.blocked.swap(false, Relaxed) {
      self.holder.set_blocked(false);
      self.holder.record_progress();
    }
  }

  /// Records that the caller does not read.
  pub(crate) fn record_blocked(&self) {
    if !self.blocked.swap(true, Relaxed) {
      self.holder.set_blocked(true);
    }
  }
}
