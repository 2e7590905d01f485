use {
  crate::Stall,
  std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
  },
  tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Connection whose writes fail when the peer stops reading for too long.
#[derive(Debug)]
pub(crate) struct StallIo<T> {
  inner: T,
  stall: Stall,
}

impl<T> StallIo<T> {
  pub(crate) const fn new(inner: T, limit: Duration) -> Self {
    Self {
      inner,
      stall: Stall::new(limit),
    }
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

impl<T: AsyncRead + Unpin> AsyncRead for StallIo<T> {
  fn poll_read(
    self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
  ) -> Poll<io::Result<()>> {
    Pin::new(&mut self.get_mut().inner).poll_read(cx, buf)
  }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for StallIo<T> {
  fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
    let this = self.get_mut();
    let result = Pin::new(&mut this.inner).poll_write(cx, buf);
    this.written(cx, result)
  }

  fn poll_write_vectored(
    self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    bufs: &[io::IoSlice<'_>],
  ) -> Poll<io::Result<usize>> {
    let this = self.get_mut();
    let result = Pin::new(&mut this.inner).poll_write_vectored(cx, bufs);
    this.written(cx, result)
  }

  fn is_write_vectored(&self) -> bool {
    self.inner.is_write_vectored()
  }

  fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
    Pin::new(&mut self.get_mut().inner).poll_flush(cx)
  }

  fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
    Pin::new(&mut self.get_mut().inner).poll_shutdown(cx)
  }
}
