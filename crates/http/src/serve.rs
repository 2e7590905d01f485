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

/// Pause after a failed accept, whose usual cause, a lack of file descriptors, would make an
/// immediate retry fail as well.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves HTTP/1.1 requests until `shutdown` is cancelled and the requests in flight have finished.
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
  // Connections that the kernel has established but that are not accepted yet are served, not
  // reset.
  if let Err(error) = accept_backlog(listener, &mut acceptor) {
    tracing::warn!(%error, "cannot accept the connections in the backlog");
  }
  acceptor.finish().await;
}

fn accept_backlog<H: CallHandler>(
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
