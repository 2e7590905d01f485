use std::{
  fmt::{self, Display, Formatter},
  io,
  net::SocketAddr,
};

/// Reason why a node did not start.
#[derive(Debug)]
pub enum StartError {
  /// A listener cannot be opened.
  Bind {
    /// Field of the settings with the address.
    field: &'static str,
    /// Address.
    address: SocketAddr,
    /// Error of the operating system.
    error: io::Error,
  },
  /// A control loop did not start.
  Actor {
    /// Name of the control loop.
    name: &'static str,
    /// Cause.
    cause: String,
  },
}

impl Display for StartError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::Bind {
        field,
        address,
        error,
      } if error.kind() == io::ErrorKind::AddrInUse => write!(
        f,
        "`{field}` address `{address}` is in use: stop the process that has it or choose another port"
      ),
      Self::Bind {
        field,
        address,
        error,
      } => write!(
        f,
        "`{field}` address `{address}` cannot be opened: {error}: write an address of this instance"
      ),
      Self::Actor { name, cause } => write!(f, "the control loop `{name}` did not start: {cause}"),
    }
  }
}

impl std::error::Error for StartError {}
