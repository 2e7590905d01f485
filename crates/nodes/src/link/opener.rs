use {
  super::{Bulk, Entry, Link, LinkError, PendingAsk, PendingCall, ReceivedHead, Stream},
  crate::{
    ControlError, Hop, MAX_CONTROL_MESSAGE,
    wire::{Frame, FrameError, MAX_DATA, Open},
  },
  bytes::{Bytes, BytesMut},
  cactusyoke_model::{Call, NodeId},
  std::{
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Instant,
  },
  tokio::sync::oneshot,
};

/// Why a call was not opened.
#[derive(Debug)]
pub enum OpenError {
  /// The link is closed; the call may be opened on another.
  Closed(Box<Call>),
  /// Too many calls in flight, or a head that does not fit a frame.
  Limit,
}

/// Removes a control message that is no longer waited for.
struct AskGuard<'a> {
  link: &'a Link,
  id: u64,
}

impl Drop for AskGuard<'_> {
  fn drop(&mut self) {
    let mut state = self.link.lock();
    if state.asks.remove(&self.id).is_some() {
      self.link.stats.in_flight.fetch_sub(1, Relaxed);
    }
    state.used = Instant::now();
  }
}

impl Link {
  /// Opens a call.
  pub fn open(self: &Arc<Self>, call: Call, hop: Hop) -> Result<PendingCall, OpenError> {
    let end = http_body::Body::is_end_stream(&call.body);
    let mut state = self.lock();
    if state.closed {
      drop(state);
      return Err(OpenError::Closed(Box::new(call)));
    }
    if state.in_flight() >= self.config.max_streams {
      return Err(OpenError::Limit);
    }
    let id = state.last + 1;
    let frame = Open::new(id, hop, end, &call.head, Instant::now());
    // Pushed under the lock, so that numbers rise in the order of the frames.
    let Ok(position) = self.outbox.push(&Frame::Open(frame)) else {
      return Err(OpenError::Limit);
    };
    state.last = id;
    let stream = Arc::new(Stream::new(id, self.config.window));
    let entry = Entry {
      stream: Arc::clone(&stream),
      position,
    };
    state.streams.insert(id, entry);
    self.stats.in_flight.fetch_add(1, Relaxed);
    drop(state);
    let deadline = call.head.deadline;
    let body = Some(call.body).filter(|_| !end);
    Ok(PendingCall::new(Arc::clone(self), stream, body, deadline))
  }

  /// Sends a control message and waits for the reply.
  pub async fn send_control(&self, node: NodeId, body: Bytes) -> Result<Bytes, ControlError> {
    let (id, receiver) = self.open_ask(node, body)?;
    let _guard = AskGuard { link: self, id };
    match receiver.await {
      Ok(Some(reply)) => Ok(reply),
      Ok(None) => Err(ControlError::Refused { node }),
      Err(_closed) => Err(ControlError::Connection { node }),
    }
  }

  fn open_ask(
    &self,
    node: NodeId,
    body: Bytes,
  ) -> Result<(u64, oneshot::Receiver<Option<Bytes>>), ControlError> {
    let (reply, receiver) = oneshot::channel();
    let mut state = self.lock();
    if state.closed {
      return Err(ControlError::Connection { node });
    }
    if state.in_flight() >= self.config.max_streams {
      return Err(ControlError::Busy { node });
    }
    let id = state.last + 1;
    state.last = id;
    let buffer = BytesMut::new();
    state.asks.insert(id, PendingAsk { buffer, reply });
    self.stats.in_flight.fetch_add(1, Relaxed);
    self.push_message(id, body, false);
    drop(state);
    Ok((id, receiver))
  }

  /// Queues a part that is known to fit.
  pub fn push_bulk(&self, part: Bulk) {
    if let Err(error) = self.outbox.push_bulk(part) {
      tracing::error!(peer = %self.peer.node, %error, "a frame was not sent");
    }
  }

  /// Queues a control message or a reply in pieces that fit a frame; an empty one is one empty
  /// piece. The first piece goes with the small frames, so that the numbers of calls and messages
  /// rise in the order of the frames.
  pub fn push_message(&self, id: u64, mut body: Bytes, reply: bool) {
    let mut first = true;
    loop {
      let piece = body.split_to(body.len().min(MAX_DATA));
      let last = body.is_empty();
      let part = if reply {
        Bulk::ControlReply(id, last, piece)
      } else {
        Bulk::ControlRequest(id, last, piece)
      };
      if first {
        self.push(&part.frame());
      } else {
        self.push_bulk(part);
      }
      if last {
        return;
      }
      first = false;
    }
  }

  /// Takes in a frame that only the accepting side sends.
  pub(super) fn on_answering_frame(
    &self,
    frame: Frame<'_>,
    whole: &Bytes,
  ) -> Result<(), LinkError> {
    match frame {
      Frame::Answer(answer) => {
        let status = answer.status()?;
        let (id, end, report) = (answer.stream, answer.end, answer.report);
        let Some(stream) = self.find(id)? else {
          return Ok(());
        };
        let head = ReceivedHead {
          status,
          headers: answer.headers.into_owned(),
          report,
        };
        stream.on_outcome(Ok(head), end)?;
        if end {
          self.remove(id);
        }
      }
      Frame::Refuse {
        stream: id,
        failure,
      } => {
        if let Some(stream) = self.find(id)? {
          stream.on_outcome(Err(failure), false)?;
          self.remove(id);
        }
      }
      Frame::ControlReply {
        stream,
        last,
        bytes,
      } => self.on_reply(stream, last, whole.slice_ref(bytes.0))?,
      Frame::Close { last_stream } => {
        self.close(Some(last_stream));
        return Err(LinkError::Ended);
      }
      _ => return Err(FrameError::UnexpectedFrame.into()),
    }
    Ok(())
  }

  fn on_reply(&self, id: u64, last: bool, bytes: Bytes) -> Result<(), FrameError> {
    let mut state = self.lock();
    if id > state.last {
      return Err(FrameError::UnexpectedFrame);
    }
    let Some(ask) = state.asks.get_mut(&id) else {
      return Ok(());
    };
    if ask.buffer.len() + bytes.len() > MAX_CONTROL_MESSAGE {
      return Err(FrameError::Oversized {
        len: ask.buffer.len() + bytes.len(),
      });
    }
    if !last {
      ask.buffer.extend_from_slice(&bytes);
      return Ok(());
    }
    let Some(mut ask) = state.asks.remove(&id) else {
      return Ok(());
    };
    self.stats.in_flight.fetch_sub(1, Relaxed);
    drop(state);
    let reply = if ask.buffer.is_empty() {
      bytes
    } else {
      ask.buffer.extend_from_slice(&bytes);
      ask.buffer.freeze()
    };
    // The asker may have given up in the meantime.
    let _ = ask.reply.send(Some(reply));
    Ok(())
  }

  /// The peer declined a control message.
  pub(super) fn on_declined(&self, id: u64) -> bool {
    let mut state = self.lock();
    let Some(ask) = state.asks.remove(&id) else {
      return false;
    };
    self.stats.in_flight.fetch_sub(1, Relaxed);
    drop(state);
    let _ = ask.reply.send(None);
    true
  }
}
