use {
  super::{Outbox, State, Stream},
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
  /// Bounds.
  pub config: Arc<LinksConfig>,
  /// Counters of all links.
  pub stats: Arc<LinkStats>,
  /// Greeting of the peer.
  pub peer: Hello,
  /// Frames that wait to be written.
  pub outbox: Outbox,
  /// Notified when a call ends.
  pub ended: Notify,
  state: Mutex<State>,
}

impl Link {
  /// Link over a connection whose greetings have been exchanged.
  pub fn new(config: Arc<LinksConfig>, stats: Arc<LinkStats>, peer: Hello) -> Self {
    stats.links.fetch_add(1, Relaxed);
    Self {
      config,
      peer,
      outbox: Outbox::new(Arc::clone(&stats)),
      ended: Notify::new(),
      state: Mutex::new(State::new(Instant::now())),
      stats,
    }
  }

  pub(super) fn lock(&self) -> MutexGuard<'_, State> {
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Queues a frame that is known to fit.
  pub fn push(&self, frame: &Frame<'_>) {
    if let Err(error) = self.outbox.push(frame) {
      tracing::error!(peer = %self.peer.node, %error, "a frame was not sent");
    }
  }

  /// Forgets a call; false when it had ended before.
  pub fn remove(&self, id: u64) -> bool {
    let mut state = self.lock();
    let removed = state.streams.remove(&id).is_some();
    if removed {
      state.used = Instant::now();
      self.stats.in_flight.fetch_sub(1, Relaxed);
    }
    drop(state);
    if removed {
      self.ended.notify_one();
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

  /// The call that a frame of the peer belongs to; `None` when it has ended here.
  pub(super) fn find(&self, id: u64) -> Result<Option<Arc<Stream>>, FrameError> {
    let state = self.lock();
    if id > state.last {
      return Err(FrameError::UnexpectedFrame);
    }
    Ok(
      state
        .streams
        .get(&id)
        .map(|entry| Arc::clone(&entry.stream)),
    )
  }

  /// True when no call can be opened any more.
  pub fn is_closed(&self) -> bool {
    self.lock().closed
  }

  /// Closes the link when nothing has been in flight for the idle time.
  pub fn close_if_idle(&self, now: Instant) -> bool {
    let mut state = self.lock();
    let idle = state.in_flight() == 0
      && now.saturating_duration_since(state.used) >= self.config.idle_timeout;
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

  /// Number of the last call or message of the peer.
  pub fn last(&self) -> u64 {
    self.lock().last
  }

  /// Ends the link and every call on it. A call that the peer has not seen was not run: one whose
  /// `Open` was never written, or with a number after `last` of the peer's `Close`.
  pub fn close(&self, last: Option<u64>) {
    // The outbox closes first: from then on no `Open` can be written.
    self.outbox.close();
    let mut state = self.lock();
    state.closed = true;
    let streams = std::mem::take(&mut state.streams);
    let asks = std::mem::take(&mut state.asks);
    let partial = std::mem::take(&mut state.partial);
    drop(state);
    let ended = streams.len() + asks.len();
    self.stats.in_flight.fetch_sub(ended as u64, Relaxed);
    drop((asks, partial));
    for entry in streams.into_values() {
      let seen =
        self.outbox.was_taken(entry.position) && last.is_none_or(|last| entry.stream.id <= last);
      let failure = if seen {
        CallFailure::unknown(UnknownReason::Connection)
      } else {
        CallFailure::not_run(NotRunReason::Connection)
      };
      entry.stream.fail(BodyError::Cut, failure);
    }
    self.ended.notify_one();
  }
}

impl Drop for Link {
  fn drop(&mut self) {
    self.stats.links.fetch_sub(1, Relaxed);
  }
}
