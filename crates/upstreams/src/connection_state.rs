use {
  cactusyoke_model::{BodyError, Clock},
  std::{
    sync::{
      Arc,
      atomic::{AtomicU8, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
  },
  tokio::time,
};

/// Flag: a write to the socket is in progress.
const WRITING: u8 = 1;
/// Flag: bytes of the current call were written.
const WRITTEN: u8 = 1 << 1;
/// Flag: no further byte may be written.
const SEALED: u8 = 1 << 2;
/// Flag: the connection was closed at the deadline of its call.
const EXPIRED: u8 = 1 << 3;
/// Flag: the upstream sent a malformed answer.
const MALFORMED: u8 = 1 << 4;

/// Stored deadline while no call uses the connection.
const NO_DEADLINE: u64 = u64::MAX;

const BODY_ACTIVE: u8 = 0;
const BODY_WAITING: u8 = 1;
const BODY_SENT: u8 = 2;
const BODY_CONNECTION_LOST: u8 = 3;
const BODY_DEADLINE: u8 = 4;
const BODY_CANCELLED: u8 = 5;
const BODY_LENGTH: u8 = 6;

/// State that a call shares with the task that drives its connection.
///
/// `write_state` decides whether a failed call may be reported as not run. Sealing the connection
/// and starting a write are one atomic operation each, so that no byte is written after
/// [`ConnectionState::seal`] has returned false.
#[derive(Debug)]
pub(crate) struct ConnectionState {
  clock: Arc<dyn Clock>,
  clock_base: Instant,
  write_state: AtomicU8,
  body_state: AtomicU8,
  /// Time of the last transferred byte, microseconds since `clock_base`.
  last_transfer: AtomicU64,
  timer_base: time::Instant,
  /// Deadline of the call, microseconds since `timer_base`.
  deadline: AtomicU64,
}

impl ConnectionState {
  pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
    let clock_base = clock.now();
    Self {
      clock,
      clock_base,
      write_state: AtomicU8::new(0),
      body_state: AtomicU8::new(BODY_ACTIVE),
      last_transfer: AtomicU64::new(0),
      timer_base: time::Instant::now(),
      deadline: AtomicU64::new(NO_DEADLINE),
    }
  }

  /// Resets the state for the next call; must not run during a call.
  pub(crate) fn begin_call(&self, deadline: time::Instant) {
    let offset = deadline.saturating_duration_since(self.timer_base);
    self
      .deadline
      .store(offset.as_micros() as u64, Ordering::SeqCst);
    self.write_state.fetch_and(!WRITTEN, Ordering::SeqCst);
    self.body_state.store(BODY_ACTIVE, Ordering::SeqCst);
  }

  /// Clears the deadline after a complete answer.
  pub(crate) fn end_call(&self) {
    self.deadline.store(NO_DEADLINE, Ordering::SeqCst);
  }

  /// Deadline of the call that uses the connection.
  pub(crate) fn deadline(&self) -> Option<time::Instant> {
    match self.deadline.load(Ordering::SeqCst) {
      NO_DEADLINE => None,
      micros => Some(self.timer_base + Duration::from_micros(micros)),
    }
  }

  /// Seals the connection because the deadline passed.
  pub(crate) fn expire(&self) {
    self
      .write_state
      .fetch_or(EXPIRED | SEALED, Ordering::SeqCst);
  }

  /// True when the connection was closed because the deadline passed.
  pub(crate) fn is_expired(&self) -> bool {
    self.write_state.load(Ordering::SeqCst) & EXPIRED != 0
  }

  /// Records that the upstream sent a malformed answer.
  pub(crate) fn set_malformed(&self) {
    self.write_state.fetch_or(MALFORMED, Ordering::SeqCst);
  }

  /// True when the upstream sent a malformed answer.
  pub(crate) fn is_malformed(&self) -> bool {
    self.write_state.load(Ordering::SeqCst) & MALFORMED != 0
  }

  /// Starts a write; false when the connection is sealed and nothing may be written.
  pub(crate) fn begin_write(&self) -> bool {
    self.write_state.fetch_or(WRITING, Ordering::SeqCst) & SEALED == 0
  }

  /// Ends a write that wrote `bytes`.
  pub(crate) fn end_write(&self, bytes: usize) {
    if bytes > 0 {
      self.write_state.fetch_or(WRITTEN, Ordering::SeqCst);
      self.record_transfer();
    }
    self.write_state.fetch_and(!WRITING, Ordering::SeqCst);
  }

  /// True when bytes of the current call were written.
  pub(crate) fn is_written(&self) -> bool {
    self.write_state.load(Ordering::SeqCst) & WRITTEN != 0
  }

  /// Prevents further writes; false when no byte of the current call can have been written.
  pub(crate) fn seal(&self) -> bool {
    self.write_state.fetch_or(SEALED, Ordering::SeqCst) & (WRITTEN | WRITING) != 0
  }

  pub(crate) fn record_transfer(&self) {
    let elapsed = self.clock.now().saturating_duration_since(self.clock_base);
    self
      .last_transfer
      .store(elapsed.as_micros() as u64, Ordering::Relaxed);
  }

  /// Time of the last transferred byte.
  pub(crate) fn last_transfer(&self) -> Instant {
    self.clock_base + Duration::from_micros(self.last_transfer.load(Ordering::Relaxed))
  }

  pub(crate) fn set_body_waiting(&self, waiting: bool) {
    let state = if waiting { BODY_WAITING } else { BODY_ACTIVE };
    self.body_state.store(state, Ordering::SeqCst);
  }

  pub(crate) fn set_body_sent(&self) {
    self.body_state.store(BODY_SENT, Ordering::SeqCst);
  }

  pub(crate) fn set_body_error(&self, error: BodyError) {
    let state = match error {
      BodyError::ConnectionLost => BODY_CONNECTION_LOST,
      BodyError::Deadline => BODY_DEADLINE,
      BodyError::Cancelled => BODY_CANCELLED,
      BodyError::Length => BODY_LENGTH,
    };
    self.body_state.store(state, Ordering::SeqCst);
  }

  /// True while the request body waits for data from the caller.
  pub(crate) fn is_body_waiting(&self) -> bool {
    self.body_state.load(Ordering::SeqCst) == BODY_WAITING
  }

  /// True when the whole request body was sent.
  pub(crate) fn is_body_sent(&self) -> bool {
    self.body_state.load(Ordering::SeqCst) == BODY_SENT
  }

  /// Why the request body ended before its last byte.
  pub(crate) fn body_error(&self) -> Option<BodyError> {
    match self.body_state.load(Ordering::SeqCst) {
      BODY_CONNECTION_LOST => Some(BodyError::ConnectionLost),
      BODY_DEADLINE => Some(BodyError::Deadline),
      BODY_CANCELLED => Some(BodyError::Cancelled),
      BODY_LENGTH => Some(BodyError::Length),
      _ => None,
    }
  }
}
