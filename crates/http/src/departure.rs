use {
  std::{
    future::{pending, poll_fn},
    sync::atomic::{AtomicBool, Ordering},
    task::Poll,
  },
  tokio::{io::Interest, net::TcpStream},
};

/// Detects that a caller has closed its connection while bytes that it sent still wait there.
///
/// The HTTP server reads nothing while a request is handled and further bytes wait, so that it would
/// reach the end of the connection only after them. The socket reports the end without a read.
#[derive(Debug, Default)]
pub(crate) struct Departure {
  /// The last read brought bytes. The server need not be waiting for more, and may not notice the
  /// end of the connection.
  unwatched: AtomicBool,
}

impl Departure {
  /// Records whether a read brought bytes. Otherwise the server waits for them, and notices the end
  /// of the connection itself.
  pub(crate) fn record_read(&self, bytes: bool) {
    self.unwatched.store(bytes, Ordering::Relaxed);
  }

  /// Waits until the caller has closed its connection, or its writing half, without the server
  /// noticing it. Must be polled by the task that serves the connection, after the server.
  pub(crate) async fn wait(&self, stream: &TcpStream) {
    // Unlike `READABLE`, this interest is not met by bytes that wait, but by the end of the stream.
    match stream.ready(Interest::PRIORITY).await {
      Ok(ready) if ready.is_read_closed() => {}
      Ok(_other) => pending().await,
      Err(error) => {
        tracing::debug!(%error, "cannot watch a caller connection");
        pending::<()>().await;
      }
    }
    // Polled again with the server, whose next read may notice the end.
    poll_fn(|_cx| {
      if self.unwatched.load(Ordering::Relaxed) {
        Poll::Ready(())
      } else {
        Poll::Pending
      }
    })
    .await;
  }
}
