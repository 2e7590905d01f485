use {
  crate::{CallHandler, Connection, Limits, connection::refuse},
  std::{io, sync::Arc, time::Duration},
  tokio::{
    net::{TcpListener, TcpStream},
    select,
    sync::Semaphore,
    time::sleep,
  },
  tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Connections beyond the limit that are answered with 429 at the same time; further ones are
/// closed without an answer, so that refusals are bounded too.
const REFUSALS: usize = 64;

/// Wait after a failed accept, which is most often a lack of file descriptors that an immediate
/// attempt would meet again.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves HTTP/1.1 requests until `shutdown` is cancelled and what is in flight has finished.
pub async fn serve<H: CallHandler>(
  listener: TcpListener,
  handler: Arc<H>,
  limits: Limits,
  shutdown: CancellationToken,
) {
  let tasks = TaskTracker::new();
  let permits = Arc::new(Semaphore::new(limits.connections));
  let refusals = Arc::new(Semaphore::new(REFUSALS));
  let start = |stream: TcpStream| {
    // Responses are written whole; waiting to merge small packets would only delay them.
    if let Err(error) = stream.set_nodelay(true) {
      tracing::debug!(%error, "caller connection without nodelay");
    }
    if let Ok(permit) = Arc::clone(&permits).try_acquire_owned() {
      let connection = Connection {
        handler: Arc::clone(&handler),
        limits,
        shutdown: shutdown.clone(),
      };
      tasks.spawn(async move {
        connection.run(stream).await;
        drop(permit);
      });
      return;
    }
    tracing::warn!(limit = limits.connections, "caller connection refused");
    if let Ok(permit) = Arc::clone(&refusals).try_acquire_owned() {
      let shutdown = shutdown.clone();
      tasks.spawn(async move {
        refuse(stream, limits, &shutdown).await;
        drop(permit);
      });
    }
  };
  loop {
    let accepted = select! {
      accepted = listener.accept() => accepted,
      () = shutdown.cancelled() => break,
    };
    match accepted {
      Ok((stream, _peer)) => start(stream),
      Err(error) => {
        tracing::warn!(%error, "accept failed");
        sleep(ACCEPT_PAUSE).await;
      }
    }
  }
  // Connections that the system has already established are served, not reset.
  if let Err(error) = take_backlog(listener, start) {
    tracing::warn!(%error, "backlog not read");
  }
  tasks.close();
  tasks.wait().await;
}

fn take_backlog(listener: TcpListener, start: impl Fn(TcpStream)) -> io::Result<()> {
  let listener = listener.into_std()?;
  loop {
    match listener.accept() {
      Ok((stream, _peer)) => {
        stream.set_nonblocking(true)?;
        start(TcpStream::from_std(stream)?);
      }
      Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
      Err(error) => return Err(error),
    }
  }
}
