use {
  super::{BulkPart, Link, LinkError, READ_BUFFER, Stream},
  crate::{
    Incoming,
    wire::{self, Frame, FrameError},
  },
  bytes::{Bytes, BytesMut},
  cactusyoke_model::{CallFailure, UnknownReason},
  std::{
    sync::{Arc, atomic::Ordering::Relaxed},
    time::{Duration, Instant},
  },
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
      TcpStream,
      tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    time::{MissedTickBehavior, interval, timeout},
  },
  tokio_util::sync::CancellationToken,
};

/// Capacity of the write buffer that is kept between writes, bytes.
const KEPT_WRITE_BUFFER: usize = 256 * 1024;
/// Time allowed for the peer to close the connection after a `Close` frame.
const PEER_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Role of this node on the link.
#[derive(Debug)]
pub enum Side {
  /// Makes calls.
  Opener,
  /// Answers calls; the token starts a graceful shutdown.
  Acceptor(mpsc::Sender<Incoming>, CancellationToken),
}

/// Connection after the handshake, ready to run.
#[derive(Debug)]
pub struct Connection {
  /// State shared with the calls on the connection.
  pub link: Arc<Link>,
  socket: TcpStream,
  unread: BytesMut,
}

impl Connection {
  /// Connection after the handshake; `unread` holds the bytes received after the peer's `Hello`.
  pub fn new(link: Arc<Link>, socket: TcpStream, unread: BytesMut) -> Self {
    Self {
      link,
      socket,
      unread,
    }
  }

  /// Makes calls until the link is lost or idle, or the future is dropped.
  pub async fn run_opener(self) {
    self.run(Side::Opener).await;
  }

  /// Answers calls until the link is lost, or until `shutdown` is cancelled and all calls have
  /// ended.
  pub async fn run_acceptor(self, incoming: mpsc::Sender<Incoming>, shutdown: CancellationToken) {
    self.run(Side::Acceptor(incoming, shutdown)).await;
  }

  async fn run(self, side: Side) {
    let link = self.link;
    let _close = CloseOnDrop(Arc::clone(&link));
    let (reader, writer) = self.socket.into_split();
    let error = tokio::select! {
      error = read(&link, reader, self.unread, &side) => error,
      error = write(&link, writer) => error,
      error = heartbeat(&link, &side) => error,
      () = drain(&link, &side) => LinkError::Closed,
    };
    let peer = link.peer.node;
    match error {
      LinkError::Frame(_) => {
        link.stats.protocol_errors.fetch_add(1, Relaxed);
        tracing::warn!(%peer, %error, "link closed");
      }
      LinkError::ReceiveTimeout | LinkError::SendStalled => {
        tracing::warn!(%peer, %error, "link closed");
      }
      LinkError::Io(_)
      | LinkError::Closed
      | LinkError::HandshakeTimeout
      | LinkError::WrongNode(_) => {
        tracing::debug!(%peer, %error, "link closed");
      }
    }
  }
}

/// Ends the calls of a link when its task ends or is dropped.
struct CloseOnDrop(Arc<Link>);

impl Drop for CloseOnDrop {
  fn drop(&mut self) {
    self.0.close(None);
  }
}

async fn read(
  link: &Arc<Link>,
  mut reader: OwnedReadHalf,
  mut input: BytesMut,
  side: &Side,
) -> LinkError {
  loop {
    loop {
      match wire::split(&mut input) {
        Ok(Some(bytes)) => {
          if let Err(error) = on_frame(link, &bytes, side) {
            return error;
          }
        }
        Ok(None) => break,
        Err(error) => return error.into(),
      }
    }
    if input.capacity() - input.len() < READ_BUFFER / 4 {
      input.reserve(READ_BUFFER);
    }
    match reader.read_buf(&mut input).await {
      Ok(0) => return LinkError::Closed,
      Ok(n) => {
        link.stats.bytes_in.fetch_add(n as u64, Relaxed);
        link.lock().last_received = Instant::now();
      }
      Err(error) => return error.into(),
    }
  }
}

fn on_frame(link: &Arc<Link>, frame_bytes: &Bytes, side: &Side) -> Result<(), LinkError> {
  let frame = wire::decode(frame_bytes)?;
  if frame.is_control() {
    let stats = &link.stats;
    stats
      .control_in
      .fetch_add(frame_bytes.len() as u64, Relaxed);
  }
  match frame {
    Frame::Ping => link.push(&Frame::Pong),
    Frame::Pong => {}
    Frame::Data { stream, bytes } => {
      if let Some(stream) = find_body_stream(link, stream, side)? {
        stream.on_data(&frame_bytes.slice_ref(bytes.0))?;
      }
    }
    Frame::End { stream, trailers } => {
      if let Some(stream) = find_body_stream(link, stream, side)? {
        let trailers = Some(trailers.into_owned()).filter(|trailers| !trailers.is_empty());
        stream.on_end(trailers)?;
        if matches!(side, Side::Opener) {
          stream.stop_sending();
          link.remove(stream.id);
        }
      }
    }
    Frame::Credit { stream, bytes } => {
      if let Some(stream) = link.find(stream)? {
        stream.on_credit(bytes)?;
      }
    }
    Frame::Reset { stream, reason } => {
      if link.on_control_declined(stream) {
        return Ok(());
      }
      if let Some(stream) = link.find(stream)? {
        link.remove(stream.id);
        let failure = CallFailure::unknown(UnknownReason::Connection);
        stream.fail(reason.into(), failure);
      }
    }
    Frame::Hello(_) => return Err(FrameError::UnexpectedFrame.into()),
    frame @ (Frame::Open(_) | Frame::ControlRequest { .. }) => match side {
      Side::Acceptor(incoming, _) => link.on_opener_frame(frame, frame_bytes, incoming)?,
      Side::Opener => return Err(FrameError::UnexpectedFrame.into()),
    },
    frame => match side {
      Side::Opener => link.on_acceptor_frame(frame, frame_bytes)?,
      Side::Acceptor(..) => return Err(FrameError::UnexpectedFrame.into()),
    },
  }
  Ok(())
}

/// Stream that receives a `Data` or `End` frame. On the opening side, the head of the answer must
/// have arrived before.
fn find_body_stream(link: &Link, id: u64, side: &Side) -> Result<Option<Arc<Stream>>, FrameError> {
  let stream = link.find(id)?;
  match (&stream, side) {
    (Some(stream), Side::Opener) if !stream.outcome_known() => Err(FrameError::UnexpectedFrame),
    _ => Ok(stream),
  }
}

async fn write(link: &Link, mut writer: OwnedWriteHalf) -> LinkError {
  let mut out = Vec::with_capacity(READ_BUFFER);
  loop {
    link.outbox.ready().await;
    while link.outbox.take(&mut out) {
      if let Err(error) = writer.write_all(&out).await {
        return error.into();
      }
      link.stats.bytes_out.fetch_add(out.len() as u64, Relaxed);
      out.clear();
      out.shrink_to(KEPT_WRITE_BUFFER);
    }
  }
}

/// Sends heartbeats, and ends when the link has timed out, stalled or become idle.
async fn heartbeat(link: &Link, side: &Side) -> LinkError {
  let period = link.config.heartbeat_interval;
  let mut ticks = interval(period);
  ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
  let mut last_tick = Instant::now();
  loop {
    ticks.tick().await;
    let now = Instant::now();
    // After a pause of this process, frames that the peer sent in the meantime are still unread.
    let paused = now.saturating_duration_since(last_tick) > period * 2;
    last_tick = now;
    let silence = now.saturating_duration_since(link.lock().last_received);
    if silence > link.config.receive_timeout && !paused {
      return LinkError::ReceiveTimeout;
    }
    if link.outbox.is_stalled() {
      return LinkError::SendStalled;
    }
    if matches!(side, Side::Opener) {
      if link.close_if_idle(now) {
        return LinkError::Closed;
      }
      link.push(&Frame::Ping);
    }
  }
}

/// After a shutdown request, waits for the calls in flight and sends `Close`. Never ends for the
/// opener.
async fn drain(link: &Link, side: &Side) {
  let Side::Acceptor(_, shutdown) = side else {
    return std::future::pending().await;
  };
  shutdown.cancelled().await;
  link.drain();
  while !link.is_empty() {
    link.call_ended.notified().await;
  }
  link.push_bulk(BulkPart::Close(link.last_stream()));
  // The opener closes the connection when it has read `Close`. If this side closed it first, the
  // peer could lose frames that it has not read yet.
  let _ = timeout(PEER_CLOSE_TIMEOUT, std::future::pending::<()>()).await;
}
