use {
  crate::StallTimer,
  std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, ready},
    time::Duration,
  },
  tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
  },
};

/// Receives the stream of a connection when the connection is dropped.
pub(crate) type ReturnedStream = Arc<Mutex<Option<TcpStream>>>;

/// TCP stream whose writes fail when the peer stops reading for too long.
#[derive(Debug)]
pub(crate) struct TimeoutStream {
  /// `None` only in the destructor.
  stream: Option<TcpStream>,
  stall_timer: StallTimer,
  returned: ReturnedStream,
}

impl TimeoutStream {
  pub(crate) const fn new(stream: TcpStream, limit: Duration, returned: ReturnedStream) -> Self {
    Self {
      stream: Some(stream),
      stall_timer: StallTimer::new(limit),
      returned,
    }
  }

  fn stream(&mut self) -> Pin<&mut TcpStream> {
    Pin::new(
      self
        .stream
        .as_mut()
        .expect("the stream is taken only by the destructor"),
    )
  }

  /// Result of a write; an error when the peer has stalled for too long.
  fn check_write(
    &mut self,
    cx: &mut Context<'_>,
    result: Poll<io::Result<usize>>,
  ) -> Poll<io::Result<usize>> {
    if let Poll::Ready(result) = result {
      if let Ok(bytes) = result {
        self.stall_timer.record_transfer(bytes);
      }
      return Poll::Ready(result);
    }
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
    self.get_mut().stream().poll_read(cx, buf)
  }
}

impl AsyncWrite for TimeoutStream {
  fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
    let this = self.get_mut();
    let result = this.stream().poll_write(cx, buf);
    this.check_write(cx, result)
  }

  fn poll_write_vectored(
    self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    bufs: &[io::IoSlice<'_>],
  ) -> Poll<io::Result<usize>> {
    let this = self.get_mut();
    let result = this.stream().poll_write_vectored(cx, bufs);
    this.check_write(cx, result)
  }

  fn is_write_vectored(&self) -> bool {
    self
      .stream
      .as_ref()
      .is_some_and(TcpStream::is_write_vectored)
  }

  fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
    self.get_mut().stream().poll_flush(cx)
  }

  fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
    self.get_mut().stream().poll_shutdown(cx)
  }
}

impl Drop for TimeoutStream {
  fn drop(&mut self) {
    *self
      .returned
      .lock()
      .expect("no thread panics while it holds the lock") = self.stream.take();
  }
}
