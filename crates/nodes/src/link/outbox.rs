use {
  super::Stream,
  crate::{
    LinkStats,
    wire::{self, Frame, FrameError, Raw},
  },
  bytes::Bytes,
  cactusyoke_memory::{Holder, MemoryAccount, MemoryKind},
  http::HeaderMap,
  std::{
    borrow::Cow,
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering::Relaxed},
    task::{Context, Poll, Waker},
  },
  tokio::sync::Notify,
};

/// Largest body chunk that is queued with the small frames, bytes.
const MAX_SMALL_CHUNK: usize = 4 * 1024;
/// Bytes queued before senders of bodies must wait.
const MAX_QUEUED: usize = 256 * 1024;
/// Most bulk bytes in one write; bounds the delay that bodies add to small frames.
const MAX_BULK_WRITE: usize = 64 * 1024;
/// Bytes of queued small frames above which the link is closed as stalled.
const MAX_SMALL_QUEUED: usize = 8 << 20;

/// Queued part of a body or control message, or the end of the link.
#[derive(Debug)]
pub enum BulkPart {
  /// Chunk of a body.
  Data(Arc<Stream>, Bytes),
  /// End of a body, with its trailers.
  End(Arc<Stream>, Option<HeaderMap>),
  /// Chunk of a control message: stream id, last chunk, bytes.
  ControlRequest(u64, bool, Bytes),
  /// Chunk of a reply: stream id, last chunk, bytes.
  ControlReply(u64, bool, Bytes),
  /// End of the link, sent after everything else that is queued: id of the last stream seen.
  Close(u64),
}

impl BulkPart {
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

  /// Frame that carries the part.
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
  small: Vec<u8>,
  bulk: VecDeque<BulkPart>,
  bulk_bytes: usize,
  /// Senders of bodies that wait for room among the bulk parts.
  wakers: Vec<Waker>,
  /// Bytes of small frames queued since the link was opened.
  queued_bytes: u64,
  /// Value of `queued_bytes` when frames were last taken for writing.
  taken_bytes: u64,
  closed: bool,
}

impl State {
  /// Bytes that wait to be written.
  const fn queued(&self) -> usize {
    self.small.len() + self.bulk_bytes
  }
}

/// Frames to be written: small frames first, then bulk parts in the order of queueing.
#[derive(Debug)]
pub struct Outbox {
  state: Mutex<State>,
  ready: Notify,
  stats: Arc<LinkStats>,
  memory: Holder,
}

impl Outbox {
  pub fn new(stats: Arc<LinkStats>, memory: &Arc<MemoryAccount>) -> Self {
    Self {
      state: Mutex::default(),
      ready: Notify::new(),
      stats,
      // Bounded by `MAX_QUEUED` and the time for which a peer may be silent, so never closed.
      memory: memory.open(|| {}),
    }
  }

  fn lock(&self) -> MutexGuard<'_, State> {
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Queues a small frame and returns its byte position, for [`Self::was_taken`]. Frames for a
  /// closed link are dropped.
  pub fn push(&self, frame: &Frame<'_>) -> Result<u64, FrameError> {
    let mut state = self.lock();
    let position = state.queued_bytes;
    if state.closed {
      return Ok(position);
    }
    let before = state.small.len();
    wire::encode(frame, &mut state.small)?;
    let len = (state.small.len() - before) as u64;
    state.queued_bytes += len;
    self.memory.count(MemoryKind::Links, state.queued());
    drop(state);
    if frame.is_control() {
      self.stats.control_out.fetch_add(len, Relaxed);
    }
    self.ready.notify_one();
    Ok(position)
  }

  /// Queues a part. A small part of a body goes with the small frames, unless an earlier part of
  /// its stream still waits among the bulk parts.
  pub fn push_bulk(&self, part: BulkPart) -> Result<(), FrameError> {
    let mut state = self.lock();
    if state.closed {
      return Ok(());
    }
    if part.stream().is_none() {
      self.stats.control_out.fetch_add(part.len() as u64, Relaxed);
    }
    let must_wait = match &part {
      BulkPart::Data(stream, _) | BulkPart::End(stream, _) => stream.has_queued(),
      BulkPart::Close(_) => !state.bulk.is_empty(),
      BulkPart::ControlRequest(..) | BulkPart::ControlReply(..) => true,
    };
    if part.len() <= MAX_SMALL_CHUNK && !must_wait {
      let before = state.small.len();
      part.encode(&mut state.small)?;
      state.queued_bytes += (state.small.len() - before) as u64;
    } else {
      if let Some(stream) = part.stream() {
        stream.add_queued();
      }
      state.bulk_bytes += part.len();
      state.bulk.push_back(part);
    }
    self.memory.count(MemoryKind::Links, state.queued());
    drop(state);
    self.ready.notify_one();
    Ok(())
  }

  /// Ready when another chunk of a body may be queued.
  pub fn poll_space(&self, cx: &mut Context<'_>) -> Poll<()> {
    let mut state = self.lock();
    if state.closed || state.queued() < MAX_QUEUED {
      return Poll::Ready(());
    }
    if !state.wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
      state.wakers.push(cx.waker().clone());
    }
    Poll::Pending
  }

  /// Moves the bytes to write next into `out`, which must be empty; false when there are none.
  pub fn take(&self, out: &mut Vec<u8>) -> bool {
    let mut state = self.lock();
    if state.closed {
      return false;
    }
    std::mem::swap(&mut state.small, out);
    state.taken_bytes = state.queued_bytes;
    let limit = out.len() + MAX_BULK_WRITE;
    while out.len() < limit
      && let Some(part) = state.bulk.pop_front()
    {
      state.bulk_bytes -= part.len();
      let reset = part.stream().is_some_and(|stream| {
        stream.remove_queued();
        stream.is_reset()
      });
      // Chunks were cut to fit in a frame, and trailers were checked when they were queued.
      if !reset && let Err(error) = part.encode(out) {
        tracing::error!(%error, "a queued frame was not sent");
      }
    }
    self.memory.count(MemoryKind::Links, state.queued());
    let wakers = if state.queued() < MAX_QUEUED {
      std::mem::take(&mut state.wakers)
    } else {
      Vec::new()
    };
    drop(state);
    wakers.into_iter().for_each(Waker::wake);
    !out.is_empty()
  }

  /// True when the frame at `position` was taken for writing, so it may have reached the peer.
  pub fn was_taken(&self, position: u64) -> bool {
    self.lock().taken_bytes > position
  }

  /// True when the small frames queued exceed the limit, because the peer does not read.
  pub fn is_stalled(&self) -> bool {
    self.lock().small.len() > MAX_SMALL_QUEUED
  }

  /// Drops all queued frames and ignores later ones; frames that were not taken are never sent.
  pub fn close(&self) {
    let mut state = self.lock();
    state.closed = true;
    state.small = Vec::new();
    state.bulk.clear();
    state.bulk_bytes = 0;
    self.memory.count(MemoryKind::Links, state.queued());
    let wakers = std::mem::take(&mut state.wakers);
    drop(state);
    wakers.into_iter().for_each(Waker::wake);
    self.ready.notify_one();
  }

  /// Waits until frames have been queued since the last wait.
  pub async fn ready(&self) {
    self.ready.notified().await;
  }
}
