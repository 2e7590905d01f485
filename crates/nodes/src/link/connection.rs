use {
  super::{Bulk, Link, LinkError, Stream},
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

/// Size of the read buffer, bytes.
const READ: usize = 64 * 1024;
/// Received pieces up to this size are copied out of the read buffer, so that a short piece that
/// waits does not keep the whole buffer.
const COPY: usize = 1024;
/// Write buffer kept between writes, bytes.
const KEPT: usize = 256 * 1024;
/// Time for the peer to close the connection after a `Close` frame.
const LINGER: Duration = Duration::from_secs(1);

/// Which side of the link this node is.
#[derive(Debug)]
pub enum Side {
  /// Makes calls.
  Opener,
  /// Answers calls, until the token is cancelled.
  Acceptor(mpsc::Sender<Incoming>, CancellationToken),
}

/// Connection with its socket, ready to run.
#[derive(Debug)]
pub struct Connection {
  /// Shared state.
  pub link: Arc<Link>,
  socket: TcpStream,
  rest: BytesMut,
}

impl Connection {
  /// Connection after the greetings; `rest` has been read beyond them.
  pub fn new(link: Arc<Link>, socket: TcpStream, rest: BytesMut) -> Self {
    Self { link, socket, rest }
  }

  /// Makes calls until the link is lost, idle, or the future is dropped.
  pub async fn run_opener(self) {
    self.run(Side::Opener).await;
  }

  /// Answers calls until the link is lost, or `shutdown` and all calls have ended.
  pub async fn run_acceptor(self, incoming: mpsc::Sender<Incoming>, shutdown: CancellationToken) {
    self.run(Side::Acceptor(incoming, shutdown)).await;
  }

  async fn run(self, side: Side) {
    let link = self.link;
    let _close = CloseOnDrop(Arc::clone(&link));
    let (reader, writer) = self.socket.into_split();
    let error = tokio::select! {
      error = read(&link, reader, self.rest, &side) => error,
      error = write(&link, writer) => error,
      error = beat(&link, &side) => error,
      () = drain(&link, &side) => LinkError::Ended,
    };
    let peer = link.peer.node;
    match error {
      LinkError::Frame(_) => {
        link.stats.protocol_errors.fetch_add(1, Relaxed);
        tracing::warn!(%peer, %error, "link closed");
      }
      LinkError::Silent | LinkError::Stuck => tracing::warn!(%peer, %error, "link closed"),
      LinkError::Io(_) | LinkError::Ended | LinkError::Timeout | LinkError::WrongNode(_) => {
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
    if input.capacity() - input.len() < READ / 4 {
      input.reserve(READ);
    }
    match reader.read_buf(&mut input).await {
      Ok(0) => return LinkError::Ended,
      Ok(n) => {
        link.stats.bytes_in.fetch_add(n as u64, Relaxed);
        link.lock().received = Instant::now();
      }
      Err(error) => return error.into(),
    }
  }
}

fn on_frame(link: &Arc<Link>, whole: &Bytes, side: &Side) -> Result<(), LinkError> {
  let frame = wire::decode(whole)?;
  if frame.is_control() {
    let stats = &link.stats;
    stats.control_in.fetch_add(whole.len() as u64, Relaxed);
  }
  match frame {
    Frame::Ping => link.push(&Frame::Pong),
    Frame::Pong => {}
    Frame::Data { stream, bytes } => {
      if let Some(stream) = find_receiving(link, stream, side)? {
        let piece = if bytes.0.len() <= COPY {
          Bytes::copy_from_slice(bytes.0)
        } else {
          whole.slice_ref(bytes.0)
        };
        stream.on_data(piece)?;
      }
    }
    Frame::End { stream, trailers } => {
      if let Some(stream) = find_receiving(link, stream, side)? {
        let trailers = Some(trailers.into_owned()).filter(|trailers| !trailers.is_empty());
        stream.on_end(trailers)?;
        if matches!(side, Side::Opener) {
          stream.stop();
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
      if link.on_declined(stream) {
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
      Side::Acceptor(incoming, _) => link.on_opening_frame(frame, whole, incoming)?,
      Side::Opener => return Err(FrameError::UnexpectedFrame.into()),
    },
    frame => match side {
      Side::Opener => link.on_answering_frame(frame, whole)?,
      Side::Acceptor(..) => return Err(FrameError::UnexpectedFrame.into()),
    },
  }
  Ok(())
}

/// The call that a part of a body belongs to. An answer begins with its head.
fn find_receiving(link: &Link, id: u64, side: &Side) -> Result<Option<Arc<Stream>>, FrameError> {
  let stream = link.find(id)?;
  match (&stream, side) {
    (Some(stream), Side::Opener) if !stream.is_answered() => Err(FrameError::UnexpectedFrame),
    _ => Ok(stream),
  }
}

async fn write(link: &Link, mut writer: OwnedWriteHalf) -> LinkError {
  let mut out = Vec::with_capacity(READ);
  loop {
    link.outbox.ready().await;
    while link.outbox.take(&mut out) {
      if let Err(error) = writer.write_all(&out).await {
        return error.into();
      }
      link.stats.bytes_out.fetch_add(out.len() as u64, Relaxed);
      out.clear();
      out.shrink_to(KEPT);
    }
  }
}

/// Sends heartbeats and ends when the link is silent, stuck or idle.
async fn beat(link: &Link, side: &Side) -> LinkError {
  let period = link.config.heartbeat_interval;
  let mut ticks = interval(period);
  ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
  let mut before = Instant::now();
  loop {
    ticks.tick().await;
    let now = Instant::now();
    // After a pause of this process, what the peer sent meanwhile has yet to be read.
    let paused = now.saturating_duration_since(before) > period * 2;
    before = now;
    let silence = now.saturating_duration_since(link.lock().received);
    if silence > link.config.receive_timeout && !paused {
      return LinkError::Silent;
    }
    if link.outbox.is_stuck() {
      return LinkError::Stuck;
    }
    if matches!(side, Side::Opener) {
      if link.close_if_idle(now) {
        return LinkError::Ended;
      }
      link.push(&Frame::Ping);
    }
  }
}

/// After the shutdown of an acceptor, ends when no call is in flight and the peer has been told.
async fn drain(link: &Link, side: &Side) {
  let Side::Acceptor(_, shutdown) = side else {
    return std::future::pending().await;
  };
  shutdown.cancelled().await;
  link.drain();
  while !link.is_empty() {
    link.ended.notified().await;
  }
  link.push_bulk(Bulk::Close(link.last()));
  // The opener closes the connection when it has read `Close`. Closing it here could discard what
  // it has not read yet.
  let _ = timeout(LINGER, std::future::pending::<()>()).await;
}
