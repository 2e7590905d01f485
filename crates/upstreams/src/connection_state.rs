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

/// A write is being attempted.
const WRITING: u8 = 1;
/// Bytes of the current call were written.
const WRITTEN: u8 = 1 << 1;
/// No further byte may be written.
const SEALED: u8 = 1 << 2;
/// The connection was closed at the deadline of its call.
const EXPIRED: u8 = 1 << 3;

/// No call uses the connection.
const NO_DEADLINE: u64 = u64::MAX;

const BODY_ACTIVE: u8 = 0;
const BODY_WAITING: u8 = 1;
const BODY_SENT: u8 = 2;
const BODY_CUT: u8 = 3;
const BODY_DEADLINE: u8 = 4;
const BODY_CANCELLED: u8 = 5;
const BODY_LENGTH: u8 = 6;

/// What the call that uses a connection must know of the task that drives it.
///
/// The gate decides whether a failed call may be reported as not run. Sealing it and starting a
/// write are one atomic operation each, so that no byte leaves after the gate was found untouched.
#[derive(Debug)]
pub(crate) struct ConnectionState {
  clock: Arc<dyn Clock>,
  opened: Instant,
  gate: AtomicU8,
  body: AtomicU8,
  /// Time of the last transferred byte, microseconds since `opened`.
  moved: AtomicU64,
  started: time::Instant,
  /// Deadline of the call, microseconds since `started`.
  deadline: AtomicU64,
}

impl ConnectionState {
  pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
    let opened = clock.now();
    Self {
      clock,
      opened,
      gate: AtomicU8::new(0),
      body: AtomicU8::new(BODY_ACTIVE),
      moved: AtomicU64::new(0),
      started: time::Instant::now(),
      deadline: AtomicU64::new(NO_DEADLINE),
    }
  }

  /// Forgets the previous call. Only between two calls.
  pub(crate) fn begin_call(&self, deadline: time::Instant) {
    let left = deadline.saturating_duration_since(self.started);
    self
      .deadline
      .store(left.as_micros() as u64, Ordering::SeqCst);
    self.gate.fetch_and(!WRITTEN, Ordering::SeqCst);
    self.body.store(BODY_ACTIVE, Ordering::SeqCst);
  }

  /// The call was answered whole.
  pub(crate) fn end_call(&self) {
    self.deadline.store(NO_DEADLINE, Ordering::SeqCst);
  }

  /// Deadline of the call that uses the connection.
  pub(crate) fn deadline(&self) -> Option<time::Instant> {
    match self.deadline.load(Ordering::SeqCst) {
      NO_DEADLINE => None,
      micros => Some(self.started + Duration::from_micros(micros)),
    }
  }

  /// The connection is closed because the deadline passed.
  pub(crate) fn expire(&self) {
    self.gate.fetch_or(EXPIRED | SEALED, Ordering::SeqCst);
  }

  /// The connection was closed because the deadline passed.
  pub(crate) fn is_expired(&self) -> bool {
    self.gate.load(Ordering::SeqCst) & EXPIRED != 0
  }

  /// False when the connection is sealed and nothing may be written.
  pub(crate) fn begin_write(&self) -> bool {
    self.gate.fetch_or(WRITING, Ordering::SeqCst) & SEALED == 0
  }

  /// Ends a write that transferred `bytes`.
  pub(crate) fn end_write(&self, bytes: usize) {
    if bytes > 0 {
      self.gate.fetch_or(WRITTEN, Ordering::SeqCst);
      self.note_moved();
    }
    self.gate.fetch_and(!WRITING, Ordering::SeqCst);
  }

  /// Bytes of the current call were written.
  pub(crate) fn is_written(&self) -> bool {
    self.gate.load(Ordering::SeqCst) & WRITTEN != 0
  }

  /// Prevents further writes. False when no byte of the current call can have left.
  pub(crate) fn seal(&self) -> bool {
    self.gate.fetch_or(SEALED, Ordering::SeqCst) & (WRITTEN | WRITING) != 0
  }

  pub(crate) fn note_moved(&self) {
    let elapsed = self.clock.now().saturating_duration_since(self.opened);
    self
      .moved
      .store(elapsed.as_micros() as u64, Ordering::Relaxed);
  }

  /// Time of the last transferred byte.
  pub(crate) fn moved(&self) -> Instant {
    self.opened + Duration::from_micros(self.moved.load(Ordering::Relaxed))
  }

  pub(crate) fn body_waiting(&self, waiting: bool) {
    let state = if waiting { BODY_WAITING } else { BODY_ACTIVE };
    self.body.store(state, Ordering::SeqCst);
  }

  pub(crate) fn body_sent(&self) {
    self.body.store(BODY_SENT, Ordering::SeqCst);
  }

  pub(crate) fn body_failed(&self, error: BodyError) {
    let state = match error {
      BodyError::ConnectionLost => BODY_CUT,
      BodyError::Deadline => BODY_DEADLINE,
      BodyError::Cancelled => BODY_CANCELLED,
      BodyError::Length => BODY_LENGTH,
    };
    self.body.store(state, Ordering::SeqCst);
  }

  /// The request body waits for its sender.
  pub(crate) fn is_body_waiting(&self) -> bool {
    self.body.load(Ordering::SeqCst) == BODY_WAITING
  }

  /// The request body was sent whole.
  pub(crate) fn is_body_sent(&self) -> bool {
    self.body.load(Ordering::SeqCst) == BODY_SENT
  }

  /// Why the request body ended before its last byte.
  pub(crate) fn body_error(&self) -> Option<BodyError> {
    match self.body.load(Ordering::SeqCst) {
      BODY_CUT => Some(BodyError::ConnectionLost),
      BODY_DEADLINE => Some(BodyError::Deadline),
      BODY_CANCELLED => Some(BodyError::Cancelled),
      BODY_LENGTH => Some(BodyError::Length),
      _ => None,
    }
  }
}
