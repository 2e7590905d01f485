use std::net::SocketAddr;

/// Messages of the announce actor.
#[derive(Debug)]
pub(crate) enum AnnounceMessage {
  /// The upstream refused a connection.
  Refused(SocketAddr),
}
