use {
  crate::{
    Hints, Phase,
    announce::{Announcement, Notice},
  },
  ractor::RpcReplyPort,
  std::net::SocketAddr,
};

/// Messages to the announce actor.
#[derive(Debug)]
pub(crate) enum AnnounceMessage {
  /// Lifecycle message from the upstream; the reply is the phase that follows.
  Notice(Notice, RpcReplyPort<Phase>),
  /// The announced upstream passed its check: it accepted a connection, or reported as healthy.
  CheckPassed(SocketAddr),
  /// An answer of the upstream said that it is about to stop.
  Leaving(Announcement),
  /// The upstream refused a connection.
  Refused(SocketAddr),
  /// The check neither passed nor found the connection refused; it is retried.
  CheckFailed,
  /// Result of polling the hints; `None` when the upstream did not answer.
  Hints(SocketAddr, Option<Hints>),
  /// Periodic check of time limits.
  Tick,
}
