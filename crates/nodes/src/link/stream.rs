use {
  super::{BodyPart, ChunkQueue, Link, ReceivedHead, StreamMemory},
  crate::wire::FrameError,
  bytes::Bytes,
  cactusyoke_model::{BodyError, CallFailure},
  http::HeaderMap,
  std::{
    sync::{
      Arc, Mutex, MutexGuard, PoisonError, Weak,
      atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed},
    },
    task::{Context, Poll, Waker},
  },
  tokio_util::sync::CancellationToken,
};

/// Most credit that a sender may hold, bytes; a peer that grants more violates the protocol.
const MAX_CREDIT: u64 = 1 << 30;

/// Most bytes of a request body that its reader keeps until the call ends.
const MAX_KEPT: u64 = 64 * 1024;

#[derive(Debug)]
struct State {
  /// Outcome that the caller has not taken yet.
  outcome: Option<Result<ReceivedHead, CallFailure>>,
  outcome_known: bool,
  chunks: ChunkQueue,
  /// Bytes that the reader may have kept.
  kept: u64,
  body_end: Option<Result<Option<HeaderMap>, BodyError>>,
  /// Bytes that the peer may still send.
  receive_credit: u64,
  /// Consumed bytes that have not yet been returned to the peer as credit.
  pending_credit: u32,
  receive_waker: Option<Waker>,
  send_credit: u64,
  send_stopped: bool,
  send_waker: Option<Waker>,
}

/// One call on a link: the body being received, the credit for the body being sent and, on the
/// opening side, the outcome.
#[derive(Debug)]
pub struct Stream {
  /// Stream id on the link.
  pub id: u64,
  /// Cancelled when the peer resets the call or the link is lost.
  pub cancelled: CancellationToken,
  window: u32,
  state: Mutex<State>,
  /// Parts of the sent body in the outbox.
  queued_parts: AtomicUsize,
  /// The peer does not need the rest of the sent body: its parts in the outbox are dropped.
  reset: AtomicBool,
  /// Most bytes of the received body that its reader keeps.
  max_kept: u64,
  memory: StreamMemory,
}

fn wake(waker: Option<Waker>) {
  if let Some(waker) = waker {
    waker.wake();
  }
}

fn register_waker(slot: &mut Option<Waker>, cx: &Context<'_>) {
  match slot {
    Some(waker) => waker.clone_from(cx.waker()),
    None => *slot = Some(cx.waker().clone()),
  }
}

impl Stream {
  /// New call that this node makes.
  pub fn opened(id: u64, link: &Arc<Link>) -> Arc<Self> {
    Self::new(id, link, 0)
  }

  /// New call that this node answers.
  pub fn accepted(id: u64, link: &Arc<Link>) -> Arc<Self> {
    Self::new(id, link, MAX_KEPT)
  }

  fn new(id: u64, link: &Arc<Link>, max_kept: u64) -> Arc<Self> {
    let window = link.config.window;
    Arc::new_cyclic(|stream| Self {
      id,
      cancelled: CancellationToken::new(),
      window,
      state: Mutex::new(State {
        outcome: None,
        outcome_known: false,
        chunks: ChunkQueue::default(),
        kept: 0,
        body_end: None,
        receive_credit: u64::from(window),
        pending_credit: 0,
        receive_waker: None,
        send_credit: u64::from(window),
        send_stopped: false,
        send_waker: None,
      }),
      queued_parts: AtomicUsize::new(0),
      reset: AtomicBool::new(false),
      max_kept,
      memory: StreamMemory::new(link, Weak::clone(stream)),
    })
  }

  fn lock(&self) -> MutexGuard<'_, State> {
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Records the outcome of the call; `end` tells that the answer has no body.
  pub fn on_outcome(
    &self,
    outcome: Result<ReceivedHead, CallFailure>,
    end: bool,
  ) -> Result<(), FrameError> {
    let mut state = self.lock();
    // This side has ended the call in the meantime.
    if matches!(state.body_end, Some(Err(_))) {
      return Ok(());
    }
    if state.outcome_known || state.body_end.is_some() {
      return Err(FrameError::UnexpectedFrame);
    }
    state.outcome_known = true;
    // The peer has ended the call, so the rest of the request body is not needed.
    let finished = end || outcome.is_err();
    state.send_stopped |= finished;
    self.reset.store(finished, Relaxed);
    state.outcome = Some(outcome);
    if end {
      state.body_end = Some(Ok(None));
    }
    let wakers = (state.receive_waker.take(), state.send_waker.take());
    drop(state);
    wake(wakers.0);
    wake(wakers.1);
    Ok(())
  }

  /// True when the outcome is known, also after the caller has taken it.
  pub fn outcome_known(&self) -> bool {
    self.lock().outcome_known
  }

  /// Records a chunk of the body, a part of the read buffer.
  pub fn on_data(&self, bytes: &Bytes) -> Result<(), FrameError> {
    let mut state = self.lock();
    match &state.body_end {
      // This side has ended the call in the meantime.
      Some(Err(_)) => return Ok(()),
      Some(Ok(_)) => return Err(FrameError::UnexpectedFrame),
      None => {}
    }
    state.receive_credit = state
      .receive_credit
      .checked_sub(bytes.len() as u64)
      .ok_or(FrameError::CreditExceeded)?;
    state.chunks.push(bytes);
    let (unread, kept) = (state.chunks.allocated(), state.kept);
    self.memory.state_received(unread, kept as usize);
    let waker = state.receive_waker.take();
    drop(state);
    self.memory.charge();
    wake(waker);
    Ok(())
  }

  /// Records the end of the body.
  pub fn on_end(&self, trailers: Option<HeaderMap>) -> Result<(), FrameError> {
    let mut state = self.lock();
    match &state.body_end {
      Some(Err(_)) => return Ok(()),
      Some(Ok(_)) => return Err(FrameError::UnexpectedFrame),
      None => {}
    }
    state.body_end = Some(Ok(trailers));
    let waker = state.receive_waker.take();
    drop(state);
    wake(waker);
    Ok(())
  }

  /// Adds credit for the body being sent.
  pub fn on_credit(&self, bytes: u32) -> Result<(), FrameError> {
    let mut state = self.lock();
    state.send_credit += u64::from(bytes);
    if state.send_credit > MAX_CREDIT {
      return Err(FrameError::CreditExceeded);
    }
    let waker = state.send_waker.take();
    drop(state);
    wake(waker);
    Ok(())
  }

  /// Ends the call: an outcome that is not known yet becomes `failure`, and a body that is still
  /// incomplete ends with `error`.
  pub fn fail(&self, error: BodyError, failure: CallFailure) {
    self.reset.store(true, Relaxed);
    let mut state = self.lock();
    if !state.outcome_known {
      state.outcome_known = true;
      state.outcome = Some(Err(failure));
    }
    if state.body_end.is_none() {
      state.chunks.clear();
      state.body_end = Some(Err(error));
    }
    state.send_stopped = true;
    let wakers = (state.receive_waker.take(), state.send_waker.take());
    drop(state);
    self.cancelled.cancel();
    wake(wakers.0);
    wake(wakers.1);
  }

  /// Drops the received chunks that are not read; the body ends with an error.
  pub fn discard_body(&self) {
    let mut state = self.lock();
    state.chunks.clear();
    state.body_end = Some(Err(BodyError::Cancelled));
    let waker = state.receive_waker.take();
    drop(state);
    wake(waker);
  }

  /// Ends the call on the accepting side, after the answer or refusal.
  pub fn finish(&self) {
    let mut state = self.lock();
    if state.body_end.is_none() {
      state.body_end = Some(Err(BodyError::ConnectionLost));
    }
    state.send_stopped = true;
    let waker = state.receive_waker.take();
    drop(state);
    wake(waker);
  }

  /// Stops sending the request body, after the answer has ended.
  pub fn stop_sending(&self) {
    self.reset.store(true, Relaxed);
    let mut state = self.lock();
    state.send_stopped = true;
    let waker = state.send_waker.take();
    drop(state);
    wake(waker);
  }

  /// Outcome of the call.
  pub fn poll_outcome(&self, cx: &mut Context<'_>) -> Poll<Result<ReceivedHead, CallFailure>> {
    let mut state = self.lock();
    if let Some(outcome) = state.outcome.take() {
      return Poll::Ready(outcome);
    }
    register_waker(&mut state.receive_waker, cx);
    Poll::Pending
  }

  /// Next part of the body.
  pub fn poll_part(&self, cx: &mut Context<'_>) -> Poll<Result<BodyPart, BodyError>> {
    let mut state = self.lock();
    if let Some(bytes) = state.chunks.pop() {
      state.pending_credit += bytes.len() as u32;
      state.kept = (state.kept + bytes.len() as u64).min(self.max_kept);
      let mut credit = 0;
      if state.pending_credit >= self.window / 2 && state.body_end.is_none() {
        credit = std::mem::take(&mut state.pending_credit);
        state.receive_credit += u64::from(credit);
      }
      let (unread, kept) = (state.chunks.allocated(), state.kept);
      self.memory.state_received(unread, kept as usize);
      drop(state);
      self.memory.charge();
      return Poll::Ready(Ok(BodyPart::Data(bytes, credit)));
    }
    match &mut state.body_end {
      Some(Ok(trailers)) => Poll::Ready(Ok(
        trailers.take().map_or(BodyPart::End, BodyPart::Trailers),
      )),
      Some(Err(error)) => Poll::Ready(Err(*error)),
      None => {
        register_waker(&mut state.receive_waker, cx);
        Poll::Pending
      }
    }
  }

  /// Bytes still to be consumed, once a body without trailers has arrived completely.
  pub fn remaining_len(&self) -> Option<u64> {
    let state = self.lock();
    let ended = matches!(state.body_end, Some(Ok(None)));
    ended.then(|| state.chunks.len())
  }

  /// True when nothing is left to consume, not even trailers.
  pub fn is_consumed(&self) -> bool {
    let state = self.lock();
    state.chunks.is_empty() && matches!(state.body_end, Some(Ok(None)))
  }

  /// Takes credit for up to `wanted` bytes; `None` when sending must stop.
  pub fn poll_credit(&self, cx: &mut Context<'_>, wanted: usize) -> Poll<Option<usize>> {
    let mut state = self.lock();
    if state.send_stopped {
      return Poll::Ready(None);
    }
    if state.send_credit == 0 {
      register_waker(&mut state.send_waker, cx);
      return Poll::Pending;
    }
    let granted = state.send_credit.min(wanted as u64);
    state.send_credit -= granted;
    Poll::Ready(Some(granted as usize))
  }

  /// Records that bytes of the body being sent wait for credit or room in the outbox; zero for none.
  pub fn record_unsent(&self, bytes: usize) {
    self.memory.record_unsent(bytes);
  }

  /// True when sending must stop; otherwise the task of `cx` is woken when it must.
  pub fn poll_stopped(&self, cx: &mut Context<'_>) -> bool {
    let mut state = self.lock();
    if !state.send_stopped {
      register_waker(&mut state.send_waker, cx);
    }
    state.send_stopped
  }

  /// True when parts of the body being sent wait in the outbox.
  pub fn has_queued(&self) -> bool {
    self.queued_parts.load(Relaxed) > 0
  }

  /// Counts a part as added to the outbox.
  pub fn add_queued(&self) {
    self.queued_parts.fetch_add(1, Relaxed);
  }

  /// Counts a part as removed from the outbox.
  pub fn remove_queued(&self) {
    self.queued_parts.fetch_sub(1, Relaxed);
  }

  /// True when parts of the sent body in the outbox are dropped instead of sent.
  pub fn is_reset(&self) -> bool {
    self.reset.load(Relaxed)
  }
}
