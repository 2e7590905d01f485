use {
  socket2::{SockRef, TcpKeepalive},
  std::{io, time::Duration},
  tokio::net::TcpStream,
};

/// Time without an acknowledgement after which a connection is broken, as for links between nodes.
const LIMIT: Duration = Duration::from_secs(3);

/// Time between two keep-alive probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes of a request that a receive window takes even if the upstream does not read.
const WINDOW_BYTES: usize = 16 * 1024;

/// Lets the system close a connection whose peer no longer acknowledges packets.
///
/// Packets are acknowledged by the peer's system, also while its process is busy or paused, so that
/// the check distinguishes a broken connection from an upstream at work.
#[derive(Debug, Default)]
pub(crate) struct TcpLiveness {
  /// Bytes of the current request.
  written: usize,
  /// Unacknowledged data is limited, too.
  limits_data: bool,
}

impl TcpLiveness {
  /// Starts the keep-alive probes.
  pub(crate) fn start(&mut self, stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
      .with_time(PROBE_INTERVAL)
      .with_interval(PROBE_INTERVAL)
      .with_retries(2);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)?;
    self.limit_data(stream, true)
  }

  /// Records `bytes` written; `first` when a request begins with them.
  ///
  /// Data that exceeds the receive window of an upstream that reads slowly stays unacknowledged on
  /// a sound connection, so the limit is lifted for long requests.
  pub(crate) fn record_write(
    &mut self,
    stream: &TcpStream,
    bytes: usize,
    first: bool,
  ) -> io::Result<()> {
    self.written = if first { bytes } else { self.written + bytes };
    self.limit_data(stream, self.written <= WINDOW_BYTES)
  }

  fn limit_data(&mut self, stream: &TcpStream, on: bool) -> io::Result<()> {
    if on == self.limits_data {
      return Ok(());
    }
    self.limits_data = on;
    SockRef::from(stream).set_tcp_user_timeout(on.then_some(LIMIT))
  }
}
