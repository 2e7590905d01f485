use {
  crate::{Hints, Phase, announce::Notice},
  ractor::RpcReplyPort,
  std::net::SocketAddr,
};

/// Messages of the announce actor.
#[derive(Debug)]
pub(crate) enum AnnounceMessage {
  /// The upstream said something of itself.
  Notice(Notice, RpcReplyPort<Phase>),
  /// The upstream accepted a connection.
  Connected(SocketAddr),
  /// The upstream refused a connection.
  Refused(SocketAddr),
  /// The check for a first connection ended without a decision.
  Unreached,
  /// Hints were read; `None` when the upstream did not answer.
  Hints(SocketAddr, Option<Hints>),
  /// Time has passed.
  Tick,
}
