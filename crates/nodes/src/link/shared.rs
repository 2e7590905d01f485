use {
  super::{ConnectionState, Outbox, Stream},
  crate::{
    LinkStats, LinksConfig,
    wire::{Frame, FrameError, Hello, ResetReason},
  },
  cactusyoke_model::{BodyError, CallFailure, NotRunReason, UnknownReason},
  std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering::Relaxed},
    time::Instant,
  },
  tokio::sync::Notify,
};

/// State of one connection, shared by its task and the calls on it.
#[derive(Debug)]
pub struct Link {
  /// Timeouts and limits.
  pub config: Arc<LinksConfig>,
  /// Counters shared by all links of this node.
  pub stats: Arc<LinkStats>,
  /// `Hello` frame of the peer.
  pub peer: Hello,
  /// Frames to be written.
  pub outbox: Outbox,
  /// Notified when a call ends.
  pub call_ended: Notify,
  state: Mutex<ConnectionState>,
}

impl Link {
  /// Link over a connection that has completed its handshake.
  pub fn new(config: Arc<LinksConfig>, stats: Arc<LinkStats>, peer: Hello) -> Self {
    stats.links.fetch_add(1, Relaxed);
    Self {
      outbox: Outbox::new(Arc::clone(&stats), &config.memory),
      config,
      peer,
      call_ended: Notify::new(),
      state: Mutex::new(ConnectionState::new(Instant::now())),
      stats,
    }
  }

  pub(super) fn lock(&self) -> MutexGuard<'_, ConnectionState> {
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Queues a frame that is known to fit the size limit.
  pub fn push(&self, frame: &Frame<'_>) {
    if let Err(error) = self.outbox.push(frame) {
      tracing::error!(peer = %self.peer.node, %error, "a frame was not sent");
    }
  }

  /// Removes a call from those in flight; false when it had ended before.
  pub fn remove(&self, id: u64) -> bool {
    let mut state = self.lock();
    let removed = state.streams.remove(&id).is_some();
    if removed {
      state.last_used = Instant::now();
      self.stats.in_flight.fetch_sub(1, Relaxed);
    }
    drop(state);
    if removed {
      self.call_ended.notify_one();
    }
    removed
  }

  /// Cancels a call in flight and notifies the peer.
  pub fn reset(&self, stream: &Stream, reason: ResetReason) {
    if !self.remove(stream.id) {
      return;
    }
    stream.fail(
      reason.into(),
      CallFailure::unknown(UnknownReason::Cancelled),
    );
    self.push(&Frame::Reset {
      stream: stream.id,
      reason,
    });
  }

  /// Ends a call because too much memory is held, also one whose body has arrived completely but is
  /// not read. Its outcome is unknown.
  pub(super) fn abandon(&self, stream: &Stream) {
    self.reset(stream, ResetReason::Cancelled);
    stream.discard_body();
  }

  /// Stream that a frame of the peer belongs to; `None` when the call has ended on this side. Fails
  /// for a stream that has not been opened yet.
  pub(super) fn find(&self, id: u64) -> Result<Option<Arc<Stream>>, FrameError> {
    let state = self.lock();
    if id > state.last_stream {
      return Err(FrameError::UnexpectedFrame);
    }
    Ok(state.streams.get(&id).map(|call| Arc::clone(&call.stream)))
  }

  /// True when no more calls can be opened.
  pub fn is_closed(&self) -> bool {
    self.lock().closed
  }

  /// Closes the link when nothing has been in flight for the idle timeout.
  pub fn close_if_idle(&self, now: Instant) -> bool {
    let mut state = self.lock();
    let idle = state.in_flight() == 0
      && now.saturating_duration_since(state.last_used) >= self.config.idle_timeout;
    state.closed |= idle;
    idle
  }

  /// Refuses new calls from now on.
  pub fn drain(&self) {
    self.lock().draining = true;
  }

  /// True when no call is in flight.
  pub fn is_empty(&self) -> bool {
    self.lock().streams.is_empty()
  }

  /// Id of the last stream opened on the link.
  pub fn last_stream(&self) -> u64 {
    self.lock().last_stream
  }

  /// Ends the link and every call on it. A call is reported as not run when the peer cannot have
  /// seen it: its `Open` was never taken for writing, or its id is above `last_stream` of the
  /// peer's `Close`.
  pub fn close(&self, last_stream: Option<u64>) {
    // The outbox closes first: after that, no `Open` can be written.
    self.outbox.close();
    let mut state = self.lock();
    state.closed = true;
    let streams = std::mem::take(&mut state.streams);
    let control_requests = std::mem::take(&mut state.control_requests);
    let incomplete = std::mem::take(&mut state.incomplete);
    drop(state);
    let count = streams.len() + control_requests.len();
    self.stats.in_flight.fetch_sub(count as u64, Relaxed);
    drop((control_requests, incomplete));
    for call in streams.into_values() {
      let possibly_seen = self.outbox.was_taken(call.position)
        && last_stream.is_none_or(|last| call.stream.id <= last);
      let failure = if possibly_seen {
        CallFailure::unknown(UnknownReason::Connection)
      } else {
        CallFailure::not_run(NotRunReason::Connection)
      };
      call.stream.fail(BodyError::ConnectionLost, failure);
    }
    self.call_ended.notify_one();
  }
}

impl Drop for Link {
  fn drop(&mut self) {
    self.stats.links.fetch_sub(1, Relaxed);
  }
}
