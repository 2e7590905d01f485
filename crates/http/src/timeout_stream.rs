use {
  crate::{ConnectionMemory, Departure, StallTimer},
  socket2::SockRef,
  std::{
    io,
    net::Shutdown,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, ready},
    time::Duration,
  },
  tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{
      TcpStream,
      tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
  },
};

/// Receives the read half of a connection when the connection is dropped.
pub(crate) type ReturnedHalf = Arc<Mutex<Option<OwnedReadHalf>>>;

/// TCP stream whose writes fail when the peer stops reading for too long.
#[derive(Debug)]
pub(crate) struct TimeoutStream {
  /// `None` only in the destructor.
  read: Option<OwnedReadHalf>,
  write: Arc<OwnedWriteHalf>,
  departure: Arc<Departure>,
  stall_timer: StallTimer,
  returned: ReturnedHalf,
  memory: Arc<ConnectionMemory>,
}

impl TimeoutStream {
  pub(crate) const fn new(
    read: OwnedReadHalf,
    write: Arc<OwnedWriteHalf>,
    departure: Arc<Departure>,
    limit: Duration,
    returned: ReturnedHalf,
    memory: Arc<ConnectionMemory>,
  ) -> Self {
    Self {
      read: Some(read),
      write,
      departure,
      stall_timer: StallTimer::new(limit),
      returned,
      memory,
    }
  }

  /// Writes, or fails when the peer has stalled for too long.
  fn write(
    &mut self,
    cx: &mut Context<'_>,
    write: impl Fn(&TcpStream) -> io::Result<usize>,
  ) -> Poll<io::Result<usize>> {
    let stream = self.write.as_ref().as_ref();
    loop {
      let result = write(stream);
      match result {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
        Err(error) => return Poll::Ready(Err(error)),
        Ok(bytes) => {
          self.stall_timer.record_transfer(bytes);
          self.memory.record_write(bytes);
          return Poll::Ready(Ok(bytes));
        }
      }
      match stream.poll_write_ready(cx) {
        Poll::Ready(Ok(())) => {}
        Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
        Poll::Pending => break,
      }
    }
    self.memory.record_blocked();
    ready!(self.stall_timer.poll_expired(cx));
    Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
  }
}

impl AsyncRead for TimeoutStream {
  fn poll_read(
    self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
  ) -> Poll<io::Result<()>> {
    let this = self.get_mut();
    if this.memory.must_wait() {
      cx.waker().wake_by_ref();
      return Poll::Pending;
    }
    let before = buf.filled().len();
    this.memory.record_buffer(buf.remaining());
    let read = this
      .read
      .as_mut()
      .expect("the half is taken only by the destructor");
    let result = Pin::new(read).poll_read(cx, buf);
    let received = buf.filled().len() > before;
    if received {
      this.memory.record_read();
    }
    this
      .departure
      .record_read(matches!(result, Poll::Ready(Ok(()))) && received);
    result
  }
}

impl AsyncWrite for TimeoutStream {
  fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
    self.get_mut().write(cx, |stream| stream.try_write(buf))
  }

  fn poll_write_vectored(
    self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    bufs: &[io::IoSlice<'_>],
  ) -> Poll<io::Result<usize>> {
    self
      .get_mut()
      .write(cx, |stream| stream.try_write_vectored(bufs))
  }

  fn is_write_vectored(&self) -> bool {
    true
  }

  fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
    // A TCP stream has no buffer of its own.
    Poll::Ready(Ok(()))
  }

  fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
    let stream: &TcpStream = self.write.as_ref().as_ref();
    Poll::Ready(SockRef::from(stream).shutdown(Shutdown::Write))
  }
}

impl Drop for TimeoutStream {
  fn drop(&mut self) {
    *self
      .returned
      .lock()
      .expect("no thread panics while it holds the lock") = self.read.take();
  }
}
