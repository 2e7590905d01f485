use {
  super::{ActiveCall, Link, LinkBody, Stream},
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

/// Most bytes of incomplete control messages buffered for one link.
const MAX_INCOMPLETE: usize = 4 * MAX_CONTROL_MESSAGE;

impl Link {
  /// Handles a frame that only the opener sends.
  pub(super) fn on_opener_frame(
    self: &Arc<Self>,
    frame: Frame<'_>,
    frame_bytes: &Bytes,
    incoming: &mpsc::Sender<Incoming>,
  ) -> Result<(), FrameError> {
    match frame {
      Frame::Open(open) => self.on_open(open, incoming),
      Frame::ControlRequest {
        stream,
        last,
        bytes,
      } => self.on_control_request(stream, last, frame_bytes.slice_ref(bytes.0), incoming),
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
    let stream = Stream::accepted(id, self);
    let mut state = self.lock();
    if id <= state.last_stream {
      return Err(FrameError::UnexpectedFrame);
    }
    state.last_stream = id;
    let refused = if state.draining {
      Some(NotRunReason::Draining)
    } else if state.in_flight() >= self.config.max_streams
      || !self.config.memory.admits(usize::from(!end))
    {
      Some(NotRunReason::Limit)
    } else {
      None
    };
    if let Some(reason) = refused {
      drop(state);
      self.refuse(id, reason);
      return Ok(());
    }
    let active = ActiveCall {
      stream: Arc::clone(&stream),
      position: 0,
    };
    state.streams.insert(id, active);
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
    // Never waits for room in the channel: heartbeats and other calls on the link would wait too.
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

  fn on_control_request(
    self: &Arc<Self>,
    id: u64,
    last: bool,
    bytes: Bytes,
    incoming: &mpsc::Sender<Incoming>,
  ) -> Result<(), FrameError> {
    let mut state = self.lock();
    let started = state.incomplete.contains_key(&id);
    if !started && id <= state.last_stream {
      // The message was declined before all of it had arrived.
      return Ok(());
    }
    state.last_stream = state.last_stream.max(id);
    if state.incomplete_bytes + bytes.len() > MAX_INCOMPLETE {
      let dropped = state
        .incomplete
        .remove(&id)
        .map_or(0, |buffer| buffer.len());
      state.incomplete_bytes -= dropped;
      drop(state);
      self.decline(id);
      return Ok(());
    }
    if !last {
      state.incomplete_bytes += bytes.len();
      let buffer = state.incomplete.entry(id).or_default();
      buffer.extend_from_slice(&bytes);
      let len = buffer.len();
      return if len > MAX_CONTROL_MESSAGE {
        Err(FrameError::Oversized { len })
      } else {
        Ok(())
      };
    }
    let body = match state.incomplete.remove(&id) {
      Some(mut buffer) => {
        state.incomplete_bytes -= buffer.len();
        buffer.extend_from_slice(&bytes);
        buffer.freeze()
      }
      None => bytes,
    };
    drop(state);
    if body.len() > MAX_CONTROL_MESSAGE {
      return Err(FrameError::Oversized { len: body.len() });
    }
    let request = IncomingControl {
      from: self.peer.node,
      body,
      reply: ControlResponder::new(Arc::clone(self), id),
    };
    // Dropping the message, and with it the responder, declines it.
    drop(incoming.try_send(Incoming::Control(request)));
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
