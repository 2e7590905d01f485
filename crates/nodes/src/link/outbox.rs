use {
  super::Stream,
  crate::{
    LinkStats,
    wire::{self, Frame, FrameError, Raw},
  },
  bytes::Bytes,
  http::HeaderMap,
  std::{
    borrow::Cow,
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering::Relaxed},
    task::{Context, Poll, Waker},
  },
  tokio::sync::Notify,
};

/// Largest piece that travels with the small frames, bytes.
const SMALL: usize = 4 * 1024;
/// Bulk bytes queued before senders of bodies wait.
const MAX_BULK: usize = 256 * 1024;
/// Bulk bytes in one write; bounds the delay that bodies add to small frames.
const BULK_WRITE: usize = 64 * 1024;
/// Small frames queued before the link counts as stuck and is closed, bytes.
const MAX_URGENT: usize = 8 << 20;

/// Part of a large body or control message that waits to be written.
#[derive(Debug)]
pub enum Bulk {
  /// Piece of a body.
  Data(Arc<Stream>, Bytes),
  /// End of a body with trailers.
  End(Arc<Stream>, Option<HeaderMap>),
  /// Piece of a control message: number, no more follow, bytes.
  ControlRequest(u64, bool, Bytes),
  /// Piece of a reply: number, no more follow, bytes.
  ControlReply(u64, bool, Bytes),
  /// End of the link: number of the last call that was seen. Follows all that waits.
  Close(u64),
}

impl Bulk {
  fn len(&self) -> usize {
    match self {
      Self::Data(_, bytes)
      | Self::ControlRequest(_, _, bytes)
      | Self::ControlReply(_, _, bytes) => bytes.len(),
      Self::End(..) | Self::Close(_) => 0,
    }
  }

  fn stream(&self) -> Option<&Stream> {
    match self {
      Self::Data(stream, _) | Self::End(stream, _) => Some(stream),
      Self::ControlRequest(..) | Self::ControlReply(..) | Self::Close(_) => None,
    }
  }

  /// Wire form.
  pub fn frame(&self) -> Frame<'_> {
    match self {
      Self::Data(stream, bytes) => Frame::Data {
        stream: stream.id,
        bytes: Raw(bytes),
      },
      Self::End(stream, trailers) => Frame::End {
        stream: stream.id,
        trailers: trailers
          .as_ref()
          .map_or_else(|| Cow::Owned(HeaderMap::new()), Cow::Borrowed),
      },
      Self::ControlRequest(stream, last, bytes) => Frame::ControlRequest {
        stream: *stream,
        last: *last,
        bytes: Raw(bytes),
      },
      Self::ControlReply(stream, last, bytes) => Frame::ControlReply {
        stream: *stream,
        last: *last,
        bytes: Raw(bytes),
      },
      Self::Close(last) => Frame::Close { last_stream: *last },
    }
  }

  fn encode(&self, out: &mut Vec<u8>) -> Result<(), FrameError> {
    wire::encode(&self.frame(), out)
  }
}

#[derive(Debug, Default)]
struct State {
  urgent: Vec<u8>,
  bulk: VecDeque<Bulk>,
  bulk_bytes: usize,
  waiting: Vec<Waker>,
  queued: u64,
  taken: u64,
  closed: bool,
}

/// Frames that wait to be written: small ones first, then pieces of large bodies in turn.
#[derive(Debug)]
pub struct Outbox {
  state: Mutex<State>,
  ready: Notify,
  stats: Arc<LinkStats>,
}

impl Outbox {
  /// Empty outbox.
  pub fn new(stats: Arc<LinkStats>) -> Self {
    Self {
      state: Mutex::default(),
      ready: Notify::new(),
      stats,
    }
  }

  fn lock(&self) -> MutexGuard<'_, State> {
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Queues a small frame; the position tells later whether it was taken. Frames for a closed
  /// link are dropped.
  pub fn push(&self, frame: &Frame<'_>) -> Result<u64, FrameError> {
    let mut state = self.lock();
    let position = state.queued;
    if state.closed {
      return Ok(position);
    }
    let before = state.urgent.len();
    wire::encode(frame, &mut state.urgent)?;
    let len = (state.urgent.len() - before) as u64;
    state.queued += len;
    drop(state);
    if frame.is_control() {
      self.stats.control_out.fetch_add(len, Relaxed);
    }
    self.ready.notify_one();
    Ok(position)
  }

  /// Queues a part of a body or message. A small part goes with the small frames unless an
  /// earlier part of its stream still waits.
  pub fn push_bulk(&self, part: Bulk) -> Result<(), FrameError> {
    let mut state = self.lock();
    if state.closed {
      return Ok(());
    }
    if part.stream().is_none() {
      self.stats.control_out.fetch_add(part.len() as u64, Relaxed);
    }
    let behind = match &part {
      Bulk::Data(stream, _) | Bulk::End(stream, _) => stream.has_queued(),
      Bulk::Close(_) => !state.bulk.is_empty(),
      Bulk::ControlRequest(..) | Bulk::ControlReply(..) => true,
    };
    if part.len() <= SMALL && !behind {
      let before = state.urgent.len();
      part.encode(&mut state.urgent)?;
      state.queued += (state.urgent.len() - before) as u64;
    } else {
      if let Some(stream) = part.stream() {
        stream.add_queued();
      }
      state.bulk_bytes += part.len();
      state.bulk.push_back(part);
    }
    drop(state);
    self.ready.notify_one();
    Ok(())
  }

  /// Ready when another piece of a body may be queued.
  pub fn poll_space(&self, cx: &mut Context<'_>) -> Poll<()> {
    let mut state = self.lock();
    if state.closed || state.bulk_bytes < MAX_BULK {
      return Poll::Ready(());
    }
    if !state
      .waiting
      .iter()
      .any(|waker| waker.will_wake(cx.waker()))
    {
      state.waiting.push(cx.waker().clone());
    }
    Poll::Pending
  }

  /// Moves what is to be written next to `out`, which is empty; false when nothing waits.
  pub fn take(&self, out: &mut Vec<u8>) -> bool {
    let mut state = self.lock();
    if state.closed {
      return false;
    }
    std::mem::swap(&mut state.urgent, out);
    state.taken = state.queued;
    let limit = out.len() + BULK_WRITE;
    while out.len() < limit
      && let Some(part) = state.bulk.pop_front()
    {
      state.bulk_bytes -= part.len();
      let reset = part.stream().is_some_and(|stream| {
        stream.remove_queued();
        stream.is_reset()
      });
      // Parts have been cut to fit a frame, and trailers were checked when they were queued.
      if !reset && let Err(error) = part.encode(out) {
        tracing::error!(%error, "a queued frame was not sent");
      }
    }
    let waiting = if state.bulk_bytes < MAX_BULK {
      std::mem::take(&mut state.waiting)
    } else {
      Vec::new()
    };
    drop(state);
    waiting.into_iter().for_each(Waker::wake);
    !out.is_empty()
  }

  /// True when the frame at `position` may have reached the peer.
  pub fn was_taken(&self, position: u64) -> bool {
    self.lock().taken > position
  }

  /// True when the peer does not read and small frames pile up.
  pub fn is_stuck(&self) -> bool {
    self.lock().urgent.len() > MAX_URGENT
  }

  /// Stops taking; frames that were not taken never leave.
  pub fn close(&self) {
    let mut state = self.lock();
    state.closed = true;
    state.urgent = Vec::new();
    state.bulk.clear();
    let waiting = std::mem::take(&mut state.waiting);
    drop(state);
    waiting.into_iter().for_each(Waker::wake);
    self.ready.notify_one();
  }

  /// Waits until frames have been queued since the last wait.
  pub async fn ready(&self) {
    self.ready.notified().await;
  }
}
