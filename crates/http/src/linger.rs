use {
  std::{io, time::Duration},
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
  },
};

/// Longest time for which the rest of an unfinished request is read and discarded.
const LINGER_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes read at a time.
const READ_BYTES: usize = 16 * 1024;

/// Closes a connection whose caller may still be sending.
///
/// Closing a socket with unread bytes resets the connection, and the reset can reach the caller
/// before the response does: a caller in the middle of an upload would not learn that it was
/// refused.
pub(crate) async fn linger(mut stream: TcpStream) {
  let discard = async {
    stream.shutdown().await?;
    let mut buffer = vec![0; READ_BYTES];
    while stream.read(&mut buffer).await? > 0 {}
    Ok::<(), io::Error>(())
  };
  if let Ok(Err(error)) = timeout(LINGER_TIMEOUT, discard).await {
    tracing::debug!(%error, "caller connection ended while its request was discarded");
  }
}
