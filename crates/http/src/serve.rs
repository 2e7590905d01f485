use {
  crate::{Acceptor, CallHandler, Limits},
  std::{io, sync::Arc, time::Duration},
  tokio::{
    net::{TcpListener, TcpStream},
    select,
    time::sleep,
  },
  tokio_util::sync::CancellationToken,
};

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
  let mut acceptor = Acceptor::new(handler, limits, shutdown.clone());
  loop {
    let accepted = select! {
      accepted = listener.accept() => accepted,
      () = shutdown.cancelled() => break,
    };
    match accepted {
      Ok((stream, _peer)) => acceptor.start(stream),
      Err(error) => {
        tracing::warn!(%error, "accept failed");
        sleep(ACCEPT_PAUSE).await;
      }
    }
  }
  // Connections that the system has already established are served, not reset.
  if let Err(error) = take_backlog(listener, &mut acceptor) {
    tracing::warn!(%error, "backlog not read");
  }
  acceptor.finish().await;
}

fn take_backlog<H: CallHandler>(
  listener: TcpListener,
  acceptor: &mut Acceptor<H>,
) -> io::Result<()> {
  let listener = listener.into_std()?;
  loop {
    match listener.accept() {
      Ok((stream, _peer)) => {
        stream.set_nonblocking(true)?;
        acceptor.start(TcpStream::from_std(stream)?);
      }
      Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
      Err(error) => return Err(error),
    }
  }
}
