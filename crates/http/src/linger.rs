use {
  std::{io, time::Duration},
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
  },
};

/// Time for which the rest of an unfinished request is read.
const LINGER: Duration = Duration::from_secs(5);

/// Bytes that are read at once.
const PIECE: usize = 16 * 1024;

/// Closes a connection whose caller may still be sending.
///
/// Closing a connection with unread bytes resets it, and the reset can reach the caller before the
/// response does: a caller in the middle of an upload would not learn that it was refused.
pub(crate) async fn linger(mut stream: TcpStream) {
  let discard = async {
    stream.shutdown().await?;
    let mut buffer = vec![0; PIECE];
    while stream.read(&mut buffer).await? > 0 {}
    Ok::<(), io::Error>(())
  };
  if let Ok(Err(error)) = timeout(LINGER, discard).await {
    tracing::debug!(%error, "caller connection ended while its request was discarded");
  }
}
