use std::{
  fmt::{self, Display, Formatter},
  io,
  net::SocketAddr,
};

/// Why the membership did not start.
#[derive(Debug)]
pub enum MembershipError {
  /// The UDP socket cannot be bound.
  Bind {
    /// Address from the settings.
    bind: SocketAddr,
    /// Error from the operating system.
    error: io::Error,
  },
  /// The actor did not start.
  Actor {
    /// Reason given by the actor runtime.
    reason: String,
  },
}

impl Display for MembershipError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    match self {
      Self::Bind { bind, error } => write!(
        f,
        "the UDP address `{bind}` cannot be bound: {error}: choose a free address of this machine"
      ),
      Self::Actor { reason } => write!(f, "the membership did not start: {reason}"),
    }
  }
}

impl std::error::Error for MembershipError {}
