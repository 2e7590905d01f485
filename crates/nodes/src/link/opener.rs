use {
  super::{
    ActiveCall, BulkPart, Link, LinkError, PendingCall, PendingControl, ReceivedHead, Stream,
  },
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
  /// The link is closed; the call may be opened on another link.
  Closed(Box<Call>),
  /// Too many calls in flight, or a head that does not fit in a frame.
  Limit,
}

/// Removes a control message whose sender no longer waits for the reply.
struct ControlGuard<'a> {
  link: &'a Link,
  id: u64,
}

impl Drop for ControlGuard<'_> {
  fn drop(&mut self) {
    let mut state = self.link.lock();
    if state.control_requests.remove(&self.id).is_some() {
      self.link.stats.in_flight.fetch_sub(1, Relaxed);
    }
    state.last_used = Instant::now();
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
    let id = state.last_stream + 1;
    let frame = Open::new(id, hop, end, &call.head, Instant::now());
    // Pushed under the lock, so that stream ids ascend in the order of the frames.
    let Ok(position) = self.outbox.push(&Frame::Open(frame)) else {
      return Err(OpenError::Limit);
    };
    state.last_stream = id;
    let stream = Stream::opened(id, self);
    let active = ActiveCall {
      stream: Arc::clone(&stream),
      position,
    };
    state.streams.insert(id, active);
    self.stats.in_flight.fetch_add(1, Relaxed);
    drop(state);
    let deadline = call.head.deadline;
    let body = Some(call.body).filter(|_| !end);
    Ok(PendingCall::new(Arc::clone(self), stream, body, deadline))
  }

  /// Sends a control message and waits for the reply.
  pub async fn send_control(&self, node: NodeId, body: Bytes) -> Result<Bytes, ControlError> {
    let (id, receiver) = self.open_control(node, body)?;
    let _guard = ControlGuard { link: self, id };
    match receiver.await {
      Ok(Some(reply)) => Ok(reply),
      Ok(None) => Err(ControlError::Declined { node }),
      Err(_closed) => Err(ControlError::Connection { node }),
    }
  }

  fn open_control(
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
    let id = state.last_stream + 1;
    state.last_stream = id;
    let buffer = BytesMut::new();
    state
      .control_requests
      .insert(id, PendingControl { buffer, reply });
    self.stats.in_flight.fetch_add(1, Relaxed);
    self.push_control(id, body, false);
    drop(state);
    Ok((id, receiver))
  }

  /// Queues a part that is known to fit in a frame.
  pub fn push_bulk(&self, part: BulkPart) {
    if let Err(error) = self.outbox.push_bulk(part) {
      tracing::error!(peer = %self.peer.node, %error, "a frame was not sent");
    }
  }

  /// Queues a control message or reply in chunks that fit in a frame; an empty one is sent as one
  /// empty chunk. The first chunk goes with the small frames, so that stream ids ascend in the
  /// order of the frames.
  pub fn push_control(&self, id: u64, mut body: Bytes, reply: bool) {
    let mut first = true;
    loop {
      let chunk = body.split_to(body.len().min(MAX_DATA));
      let last = body.is_empty();
      let part = if reply {
        BulkPart::ControlReply(id, last, chunk)
      } else {
        BulkPart::ControlRequest(id, last, chunk)
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

  /// Handles a frame that only the acceptor sends.
  pub(super) fn on_acceptor_frame(
    &self,
    frame: Frame<'_>,
    frame_bytes: &Bytes,
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
      } => self.on_control_reply(stream, last, frame_bytes.slice_ref(bytes.0))?,
      Frame::Close { last_stream } => {
        self.close(Some(last_stream));
        return Err(LinkError::Closed);
      }
      _ => return Err(FrameError::UnexpectedFrame.into()),
    }
    Ok(())
  }

  fn on_control_reply(&self, id: u64, last: bool, bytes: Bytes) -> Result<(), FrameError> {
    let mut state = self.lock();
    if id > state.last_stream {
      return Err(FrameError::UnexpectedFrame);
    }
    let Some(request) = state.control_requests.get_mut(&id) else {
      return Ok(());
    };
    if request.buffer.len() + bytes.len() > MAX_CONTROL_MESSAGE {
      return Err(FrameError::Oversized {
        len: request.buffer.len() + bytes.len(),
      });
    }
    if !last {
      request.buffer.extend_from_slice(&bytes);
      return Ok(());
    }
    let Some(mut request) = state.control_requests.remove(&id) else {
      return Ok(());
    };
    self.stats.in_flight.fetch_sub(1, Relaxed);
    drop(state);
    let reply = if request.buffer.is_empty() {
      bytes
    } else {
      request.buffer.extend_from_slice(&bytes);
      request.buffer.freeze()
    };
    // The caller may have stopped waiting.
    let _ = request.reply.send(Some(reply));
    Ok(())
  }

  /// Fails a control message that the peer declined; false when `id` is not one.
  pub(super) fn on_control_declined(&self, id: u64) -> bool {
    let mut state = self.lock();
    let Some(request) = state.control_requests.remove(&id) else {
      return false;
    };
    self.stats.in_flight.fetch_sub(1, Relaxed);
    drop(state);
    let _ = request.reply.send(None);
    true
  }
}
