use {
  crate::{Hints, Phase, announce::Announcement},
  ractor::RpcReplyPort,
  std::net::SocketAddr,
};

/// Messages of the announce actor.
#[derive(Debug)]
pub(crate) enum AnnounceMessage {
  /// `PUT /announce`.
  Announce(Announcement, RpcReplyPort<Phase>),
  /// `POST /drain`.
  Drain(RpcReplyPort<Phase>),
  /// `POST /leave`.
  Leave(RpcReplyPort<Phase>),
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
