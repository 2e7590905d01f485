use {
  crate::{ConnectionState, TcpLiveness},
  std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
  },
  tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
  },
};

/// TCP stream that records reads and writes in [`ConnectionState`] and refuses writes once sealed.
#[derive(Debug)]
pub(crate) struct TrackedIo {
  pub(crate) stream: TcpStream,
  pub(crate) state: Arc<ConnectionState>,
  pub(crate) liveness: TcpLiveness,
  /// A write failed after part of the request was written.
  pub(crate) write_failed: bool,
}

impl TrackedIo {
  fn write(
    &mut self,
    cx: &mut Context<'_>,
    write: impl FnOnce(Pin<&mut TcpStream>, &mut Context<'_>) -> Poll<io::Result<usize>>,
  ) -> Poll<io::Result<usize>> {
    if self.write_failed {
      return Poll::Pending;
    }
    if !self.state.begin_write() {
      self.state.end_write(0);
      return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
    }
    let first = !self.state.is_written();
    let result = write(Pin::new(&mut self.stream), cx);
    let bytes = match &result {
      Poll::Ready(Ok(bytes)) => *bytes,
      Poll::Ready(Err(_)) | Poll::Pending => 0,
    };
    self.state.end_write(bytes);
    if let Err(error) = self.liveness.record_write(&self.stream, bytes, first) {
      tracing::debug!(%error, "cannot change the time limit of an upstream connection");
    }
    if matches!(result, Poll::Ready(Err(_))) && self.state.is_written() {
      // An upstream that rejects a request before it has read all of it answers and closes the
      // connection, so that writing the rest fails. Hiding the error lets the answer still be read;
      // if there is none, reading fails as well and ends the call.
      self.write_failed = true;
      cx.waker().wake_by_ref();
      return Poll::Pending;
    }
    result
  }
}

impl AsyncRead for TrackedIo {
  fn poll_read(
    self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
  ) -> Poll<io::Result<()>> {
    let this = self.get_mut();
    let before = buf.filled().len();
    let result = Pin::new(&mut this.stream).poll_read(cx, buf);
    if buf.filled().len() > before {
      this.state.record_transfer();
    }
    result
  }
}

impl AsyncWrite for TrackedIo {
  fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
    self
      .get_mut()
      .write(cx, |stream, cx| stream.poll_write(cx, buf))
  }

  fn poll_write_vectored(
    self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    bufs: &[io::IoSlice<'_>],
  ) -> Poll<io::Result<usize>> {
    self
      .get_mut()
      .write(cx, |stream, cx| stream.poll_write_vectored(cx, bufs))
  }

  fn is_write_vectored(&self) -> bool {
    self.stream.is_write_vectored()
  }

  fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
    Pin::new(&mut self.get_mut().stream).poll_flush(cx)
  }

  fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
    Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
  }
}
