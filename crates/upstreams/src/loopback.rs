use {
  std::{
    fmt::{self, Display, Formatter},
    io,
    net::SocketAddr,
  },
  tokio::net::TcpListener,
};

/// Why a listener for the upstream cannot be used.
#[derive(Debug)]
pub enum LoopbackError {
  /// It is bound to an address that other machines reach.
  NotLoopback(SocketAddr),
  /// Its address cannot be read.
  Address(io::Error),
}

impl Display for LoopbackError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::NotLoopback(address) => write!(
        f,
        "`{address}` can be reached from other machines: bind the listener to a loopback address such as `127.0.0.1`"
      ),
      Self::Address(error) => write!(f, "the address of the listener cannot be read: {error}"),
    }
  }
}

impl std::error::Error for LoopbackError {}

/// Address of a listener that only this machine reaches.
pub(crate) fn loopback_address(listener: &TcpListener) -> Result<SocketAddr, LoopbackError> {
  let address = listener.local_addr().map_err(LoopbackError::Address)?;
  if address.ip().is_loopback() {
    Ok(address)
  } else {
    Err(LoopbackError::NotLoopback(address))
  }
}
