use {
  crate::{ConnectionState, TcpLiveness, head_scanner::HeadScanner},
  std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
  },
  tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
  },
};

/// TCP stream that records reads and writes in [`ConnectionState`] and refuses writes once sealed.
///
/// The end of the stream is an error while the request is not sent: it delimits an answer without a
/// length, and such an answer of an upstream that ended before it had the whole request cannot be told
/// from a truncated one. The same holds after a failed write, which takes the error of the connection
/// from the socket, so that a reset looks like an orderly end to the next read.
#[derive(Debug)]
pub(crate) struct TrackedIo {
  pub(crate) stream: TcpStream,
  pub(crate) state: Arc<ConnectionState>,
  pub(crate) liveness: TcpLiveness,
  /// A write failed after part of the request was written.
  pub(crate) write_failed: bool,
  /// Everything that was to be written has been.
  pub(crate) flushed: bool,
  pub(crate) scanner: HeadScanner,
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
    if first {
      self.scanner.begin();
    }
    self.flushed = false;
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

  /// True when all bytes of the current request have been passed to the system.
  fn is_sent(&self) -> bool {
    self.flushed && !self.write_failed && self.state.is_body_sent()
  }

  /// Checks what was read; `bytes` is empty at the end of the stream.
  fn check_read(&mut self, bytes: &[u8]) -> io::Result<()> {
    if bytes.is_empty() {
      return if self.state.is_written() && !self.is_sent() {
        Err(io::ErrorKind::ConnectionReset.into())
      } else {
        Ok(())
      };
    }
    self.state.record_transfer();
    self.scanner.scan(bytes).map_err(|error| {
      self.state.set_malformed();
      io::Error::new(io::ErrorKind::InvalidData, error)
    })
  }
}

impl AsyncRead for TrackedIo {
  fn poll_read(
    self: Pin<&mut Self>,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
  ) -> Poll<io::Result<()>> {
    let this = self.get_mut();
    if buf.remaining() == 0 {
      return Poll::Ready(Ok(()));
    }
    let before = buf.filled().len();
    ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
    Poll::Ready(this.check_read(&buf.filled()[before..]))
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
    let this = self.get_mut();
    // hyper flushes only when it has nothing left to write.
    this.flushed = true;
    Pin::new(&mut this.stream).poll_flush(cx)
  }

  fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
    Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
  }
}
