use {
  super::{Part, ReceivedHead},
  crate::wire::FrameError,
  bytes::Bytes,
  cactusyoke_model::{BodyError, CallFailure},
  http::HeaderMap,
  std::{
    collections::VecDeque,
    sync::{
      Mutex, MutexGuard, PoisonError,
      atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed},
    },
    task::{Context, Poll, Waker},
  },
  tokio_util::sync::CancellationToken,
};

/// Most credit that a sender may hold; more is an error of the peer.
const MAX_CREDIT: u64 = 1 << 30;

#[derive(Debug)]
struct Inner {
  outcome: Option<Result<ReceivedHead, CallFailure>>,
  answered: bool,
  chunks: VecDeque<Bytes>,
  end: Option<Result<Option<HeaderMap>, BodyError>>,
  receivable: u64,
  consumed: u32,
  receiver: Option<Waker>,
  credit: u64,
  stopped: bool,
  sender: Option<Waker>,
}

/// One call on a link: the body that is received, the credit for the one that is sent, and on the
/// opening side the outcome.
#[derive(Debug)]
pub struct Stream {
  /// Number on the link.
  pub id: u64,
  /// Cancelled when the peer resets the call or the link is lost.
  pub cancelled: CancellationToken,
  window: u32,
  inner: Mutex<Inner>,
  queued: AtomicUsize,
  reset: AtomicBool,
}

fn wake(waker: Option<Waker>) {
  if let Some(waker) = waker {
    waker.wake();
  }
}

fn register(slot: &mut Option<Waker>, cx: &Context<'_>) {
  match slot {
    Some(waker) => waker.clone_from(cx.waker()),
    None => *slot = Some(cx.waker().clone()),
  }
}

impl Stream {
  /// New call with `window` bytes of credit in both directions.
  pub fn new(id: u64, window: u32) -> Self {
    Self {
      id,
      cancelled: CancellationToken::new(),
      window,
      inner: Mutex::new(Inner {
        outcome: None,
        answered: false,
        chunks: VecDeque::new(),
        end: None,
        receivable: u64::from(window),
        consumed: 0,
        receiver: None,
        credit: u64::from(window),
        stopped: false,
        sender: None,
      }),
      queued: AtomicUsize::new(0),
      reset: AtomicBool::new(false),
    }
  }

  fn lock(&self) -> MutexGuard<'_, Inner> {
    self.inner.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Takes in the outcome of the call; an answer without a body has ended.
  pub fn on_outcome(
    &self,
    outcome: Result<ReceivedHead, CallFailure>,
    end: bool,
  ) -> Result<(), FrameError> {
    let mut inner = self.lock();
    if inner.answered || inner.end.is_some() {
      return Err(FrameError::UnexpectedFrame);
    }
    inner.answered = true;
    // The peer has forgotten the call, so the rest of the request body need not be sent.
    let over = end || outcome.is_err();
    inner.stopped |= over;
    self.reset.store(over, Relaxed);
    inner.outcome = Some(outcome);
    if end {
      inner.end = Some(Ok(None));
    }
    let wakers = (inner.receiver.take(), inner.sender.take());
    drop(inner);
    wake(wakers.0);
    wake(wakers.1);
    Ok(())
  }

  /// True when the outcome has arrived.
  pub fn is_answered(&self) -> bool {
    self.lock().answered
  }

  /// Takes in a piece of the body.
  pub fn on_data(&self, bytes: Bytes) -> Result<(), FrameError> {
    let mut inner = self.lock();
    if inner.end.is_some() {
      return Err(FrameError::UnexpectedFrame);
    }
    inner.receivable = inner
      .receivable
      .checked_sub(bytes.len() as u64)
      .ok_or(FrameError::CreditExceeded)?;
    if !bytes.is_empty() {
      inner.chunks.push_back(bytes);
    }
    let waker = inner.receiver.take();
    drop(inner);
    wake(waker);
    Ok(())
  }

  /// Takes in the end of the body.
  pub fn on_end(&self, trailers: Option<HeaderMap>) -> Result<(), FrameError> {
    let mut inner = self.lock();
    if inner.end.is_some() {
      return Err(FrameError::UnexpectedFrame);
    }
    inner.end = Some(Ok(trailers));
    let waker = inner.receiver.take();
    drop(inner);
    wake(waker);
    Ok(())
  }

  /// Takes in credit for the body that is sent.
  pub fn on_credit(&self, bytes: u32) -> Result<(), FrameError> {
    let mut inner = self.lock();
    inner.credit += u64::from(bytes);
    if inner.credit > MAX_CREDIT {
      return Err(FrameError::CreditExceeded);
    }
    let waker = inner.sender.take();
    drop(inner);
    wake(waker);
    Ok(())
  }

  /// Ends the call: a body or outcome that is not complete fails.
  pub fn fail(&self, error: BodyError, failure: CallFailure) {
    self.reset.store(true, Relaxed);
    let mut inner = self.lock();
    if !inner.answered {
      inner.answered = true;
      inner.outcome = Some(Err(failure));
    }
    if inner.end.is_none() {
      inner.chunks.clear();
      inner.end = Some(Err(error));
    }
    inner.stopped = true;
    let wakers = (inner.receiver.take(), inner.sender.take());
    drop(inner);
    self.cancelled.cancel();
    wake(wakers.0);
    wake(wakers.1);
  }

  /// Ends the call on the answering side after the answer has been queued.
  pub fn finish(&self) {
    let mut inner = self.lock();
    if inner.end.is_none() {
      inner.end = Some(Err(BodyError::Cut));
    }
    inner.stopped = true;
    let waker = inner.receiver.take();
    drop(inner);
    wake(waker);
  }

  /// Stops the sending of the request body, after the answer has ended.
  pub fn stop(&self) {
    self.reset.store(true, Relaxed);
    let mut inner = self.lock();
    inner.stopped = true;
    let waker = inner.sender.take();
    drop(inner);
    wake(waker);
  }

  /// Outcome of the call.
  pub fn poll_outcome(&self, cx: &mut Context<'_>) -> Poll<Result<ReceivedHead, CallFailure>> {
    let mut inner = self.lock();
    if let Some(outcome) = inner.outcome.take() {
      return Poll::Ready(outcome);
    }
    register(&mut inner.receiver, cx);
    Poll::Pending
  }

  /// Next part of the body.
  pub fn poll_part(&self, cx: &mut Context<'_>) -> Poll<Result<Part, BodyError>> {
    let mut inner = self.lock();
    if let Some(bytes) = inner.chunks.pop_front() {
      inner.consumed += bytes.len() as u32;
      let mut credit = 0;
      if inner.consumed >= self.window / 2 && inner.end.is_none() {
        credit = std::mem::take(&mut inner.consumed);
        inner.receivable += u64::from(credit);
      }
      return Poll::Ready(Ok(Part::Data(bytes, credit)));
    }
    match &mut inner.end {
      Some(Ok(trailers)) => Poll::Ready(Ok(trailers.take().map_or(Part::End, Part::Trailers))),
      Some(Err(error)) => Poll::Ready(Err(*error)),
      None => {
        register(&mut inner.receiver, cx);
        Poll::Pending
      }
    }
  }

  /// Bytes still to be consumed, when a body without trailers has arrived whole.
  pub fn rest(&self) -> Option<u64> {
    let inner = self.lock();
    let ended = matches!(inner.end, Some(Ok(None)));
    ended.then(|| inner.chunks.iter().map(|bytes| bytes.len() as u64).sum())
  }

  /// True when nothing is left to consume, not even trailers.
  pub fn is_consumed(&self) -> bool {
    let inner = self.lock();
    inner.chunks.is_empty() && matches!(inner.end, Some(Ok(None)))
  }

  /// Credit for up to `wanted` bytes, taken; `None` when sending is to stop.
  pub fn poll_credit(&self, cx: &mut Context<'_>, wanted: usize) -> Poll<Option<usize>> {
    let mut inner = self.lock();
    if inner.stopped {
      return Poll::Ready(None);
    }
    if inner.credit == 0 {
      register(&mut inner.sender, cx);
      return Poll::Pending;
    }
    let granted = inner.credit.min(wanted as u64);
    inner.credit -= granted;
    Poll::Ready(Some(granted as usize))
  }

  /// True when sending is to stop; otherwise the task of `cx` is woken when it is.
  pub fn poll_stopped(&self, cx: &mut Context<'_>) -> bool {
    let mut inner = self.lock();
    if !inner.stopped {
      register(&mut inner.sender, cx);
    }
    inner.stopped
  }

  /// True when parts of the body that is sent wait in the outbox.
  pub fn has_queued(&self) -> bool {
    self.queued.load(Relaxed) > 0
  }

  /// Counts a part in the outbox.
  pub fn add_queued(&self) {
    self.queued.fetch_add(1, Relaxed);
  }

  /// Counts a part taken from the outbox.
  pub fn remove_queued(&self) {
    self.queued.fetch_sub(1, Relaxed);
  }

  /// True when what is queued need not be sent.
  pub fn is_reset(&self) -> bool {
    self.reset.load(Relaxed)
  }
}
