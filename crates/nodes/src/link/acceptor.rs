use {
  super::{Entry, Link, LinkBody, Stream},
  crate::{
    ControlResponder, Incoming, IncomingCall, IncomingControl, MAX_CONTROL_MESSAGE, Responder,
    wire::{Frame, FrameError, Open, ResetReason},
  },
  bytes::Bytes,
  cactusyoke_model::{Call, CallFailure, NotRunReason, empty_body},
  http_body_util::BodyExt,
  std::{
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Instant,
  },
  tokio::sync::mpsc,
};

/// Bytes of incomplete control messages on one link.
const MAX_PARTIAL: usize = 4 * MAX_CONTROL_MESSAGE;

impl Link {
  /// Takes in a frame that only the opening side sends.
  pub(super) fn on_opening_frame(
    self: &Arc<Self>,
    frame: Frame<'_>,
    whole: &Bytes,
    incoming: &mpsc::Sender<Incoming>,
  ) -> Result<(), FrameError> {
    match frame {
      Frame::Open(open) => self.on_open(open, incoming),
      Frame::ControlRequest {
        stream,
        last,
        bytes,
      } => self.on_ask(stream, last, whole.slice_ref(bytes.0), incoming),
      _ => Err(FrameError::UnexpectedFrame),
    }
  }

  fn refuse(&self, stream: u64, reason: NotRunReason) {
    self.push(&Frame::Refuse {
      stream,
      failure: CallFailure::not_run(reason),
    });
  }

  fn on_open(
    self: &Arc<Self>,
    open: Open<'_>,
    incoming: &mpsc::Sender<Incoming>,
  ) -> Result<(), FrameError> {
    let (id, hop, end) = (open.stream, open.hop, open.end);
    let head = open.into_head(Instant::now())?;
    let stream = Arc::new(Stream::new(id, self.config.window));
    let mut state = self.lock();
    if id <= state.last {
      return Err(FrameError::UnexpectedFrame);
    }
    state.last = id;
    let refused = if state.draining {
      Some(NotRunReason::Draining)
    } else if state.in_flight() >= self.config.max_streams {
      Some(NotRunReason::Limit)
    } else {
      None
    };
    if let Some(reason) = refused {
      drop(state);
      self.refuse(id, reason);
      return Ok(());
    }
    let entry = Entry {
      stream: Arc::clone(&stream),
      position: 0,
    };
    state.streams.insert(id, entry);
    self.stats.in_flight.fetch_add(1, Relaxed);
    drop(state);
    let body = if end {
      stream.on_end(None)?;
      empty_body()
    } else {
      LinkBody::request(Arc::clone(self), Arc::clone(&stream)).boxed_unsync()
    };
    let call = IncomingCall {
      from: self.peer.node,
      hop,
      call: Call { head, body },
      cancelled: stream.cancelled.clone(),
      reply: Responder::new(Arc::clone(self), stream),
    };
    // The reader never waits for the owner: heartbeats and other calls would wait with it.
    if let Err(error) = incoming.try_send(Incoming::Call(call)) {
      let reason = match error {
        mpsc::error::TrySendError::Full(_) => NotRunReason::Limit,
        mpsc::error::TrySendError::Closed(_) => NotRunReason::Draining,
      };
      if let Incoming::Call(call) = error.into_inner() {
        call.reply.refuse(CallFailure::not_run(reason));
      }
    }
    Ok(())
  }

  fn on_ask(
    self: &Arc<Self>,
    id: u64,
    last: bool,
    bytes: Bytes,
    incoming: &mpsc::Sender<Incoming>,
  ) -> Result<(), FrameError> {
    let mut state = self.lock();
    let known = state.partial.contains_key(&id);
    if !known && id <= state.last {
      // Piece of a message that was declined.
      return Ok(());
    }
    state.last = state.last.max(id);
    if state.partial_bytes + bytes.len() > MAX_PARTIAL {
      let dropped = state.partial.remove(&id).map_or(0, |buffer| buffer.len());
      state.partial_bytes -= dropped;
      drop(state);
      self.decline(id);
      return Ok(());
    }
    if !last {
      state.partial_bytes += bytes.len();
      let buffer = state.partial.entry(id).or_default();
      buffer.extend_from_slice(&bytes);
      let len = buffer.len();
      return if len > MAX_CONTROL_MESSAGE {
        Err(FrameError::Oversized { len })
      } else {
        Ok(())
      };
    }
    let body = match state.partial.remove(&id) {
      Some(mut buffer) => {
        state.partial_bytes -= buffer.len();
        buffer.extend_from_slice(&bytes);
        buffer.freeze()
      }
      None => bytes,
    };
    drop(state);
    if body.len() > MAX_CONTROL_MESSAGE {
      return Err(FrameError::Oversized { len: body.len() });
    }
    let ask = IncomingControl {
      from: self.peer.node,
      body,
      reply: ControlResponder::new(Arc::clone(self), id),
    };
    // Dropping the message declines it.
    drop(incoming.try_send(Incoming::Control(ask)));
    Ok(())
  }

  /// Declines a control message.
  pub fn decline(&self, id: u64) {
    self.push(&Frame::Reset {
      stream: id,
      reason: ResetReason::Cancelled,
    });
  }
}
