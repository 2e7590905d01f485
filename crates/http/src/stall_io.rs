use {
  crate::Stall,
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

/// Where a connection leaves its stream when it is dropped.
pub(crate) type Returned = Arc<Mutex<Option<TcpStream>>>;

/// Connection whose writes fail when the peer stops reading for too long.
#[derive(Debug)]
pub(crate) struct StallIo {
  /// `None` only while it is dropped.
  stream: Option<TcpStream>,
  stall: Stall,
  returned: Returned,
}

impl StallIo {
  pub(crate) const fn new(stream: TcpStream, limit: Duration, returned: Returned) -> Self {
    Self {
      stream: Some(stream),
      stall: Stall::new(limit),
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

  fn written(
    &mut self,
    cx: &mut Context<'_>,
    result: Poll<io::Result<usize>>,
  ) -> Poll<io::Result<usize>> {
    if let Poll::Ready(result) = result {
      if let Ok(bytes) = result {
        self.stall.progress(bytes);
      }
      return Poll::Ready(result);
    }
    ready!(self.stall.poll_expired(cx));
    Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
  }
}

impl AsyncRead for StallIo {
  fn poll_read(
    self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
  ) -> Poll<io::Result<()>> {
    self.get_mut().stream().poll_read(cx, buf)
  }
}

impl AsyncWrite for StallIo {
  fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
    let this = self.get_mut();
    let result = this.stream().poll_write(cx, buf);
    this.written(cx, result)
  }

  fn poll_write_vectored(
    self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    bufs: &[io::IoSlice<'_>],
  ) -> Poll<io::Result<usize>> {
    let this = self.get_mut();
    let result = this.stream().poll_write_vectored(cx, bufs);
    this.written(cx, result)
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

impl Drop for StallIo {
  fn drop(&mut self) {
    *self
      .returned
      .lock()
      .expect("no thread panics while it holds the lock") = self.stream.take();
  }
}
