use {
  std::{
    fmt::{self, Display, Formatter},
    io,
    net::{IpAddr, SocketAddr},
  },
  tokio::net::TcpListener,
};

/// Why a listener for the upstream is rejected.
#[derive(Debug)]
pub enum LoopbackError {
  /// Bound to an address that is neither loopback nor the instance's.
  NotLoopback(SocketAddr),
  /// The bound address cannot be read.
  Address(io::Error),
}

impl Display for LoopbackError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::NotLoopback(address) => write!(
        f,
        "`{address}` can be reached from other machines: bind the listener to a loopback address such as `127.0.0.1`, or to the address of the instance"
      ),
      Self::Address(error) => write!(f, "the address of the listener cannot be read: {error}"),
    }
  }
}

impl std::error::Error for LoopbackError {}

/// Address of a listener; an error unless it is a loopback address or the instance's.
pub(crate) fn checked_address(
  listener: &TcpListener,
  instance_address: Option<IpAddr>,
) -> Result<SocketAddr, LoopbackError> {
  let address = listener.local_addr().map_err(LoopbackError::Address)?;
  if address.ip().is_loopback() || Some(address.ip()) == instance_address {
    Ok(address)
  } else {
    Err(LoopbackError::NotLoopback(address))
  }
}
