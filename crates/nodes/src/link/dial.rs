//! Opening and accepting of connections, with the handshake.

use {
  super::{Connection, Link, LinkError},
  crate::{
    LinkStats, LinksConfig,
    wire::{self, Frame, FrameError, Hello, VERSION},
  },
  bytes::BytesMut,
  cactusyoke_model::NodeId,
  std::sync::{Arc, atomic::Ordering::Relaxed},
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
  },
};

/// Connects to a node and performs the handshake.
pub async fn dial(
  node: NodeId,
  config: Arc<LinksConfig>,
  stats: Arc<LinkStats>,
) -> Result<Connection, LinkError> {
  let limit = config.connect_timeout;
  let connected = timeout(limit, async {
    let mut socket = TcpStream::connect(node.0).await?;
    let (peer, unread) = handshake(&mut socket, &config, &stats).await?;
    if peer.node != node {
      return Err(LinkError::WrongNode(peer.node));
    }
    Ok((socket, peer, unread))
  });
  let (socket, peer, unread) = connected
    .await
    .unwrap_or(Err(LinkError::HandshakeTimeout))?;
  let link = Arc::new(Link::new(config, stats, peer));
  Ok(Connection::new(link, socket, unread))
}

/// Performs the handshake on an accepted connection.
pub async fn accept(
  mut socket: TcpStream,
  config: Arc<LinksConfig>,
  stats: Arc<LinkStats>,
) -> Result<Connection, LinkError> {
  let connected = timeout(
    config.receive_timeout,
    handshake(&mut socket, &config, &stats),
  )
  .await;
  let (peer, unread) = connected.unwrap_or(Err(LinkError::HandshakeTimeout))?;
  let link = Arc::new(Link::new(config, stats, peer));
  Ok(Connection::new(link, socket, unread))
}

/// Sends `Hello` before reading the peer's, so that both sides can detect a version mismatch.
async fn handshake(
  socket: &mut TcpStream,
  config: &LinksConfig,
  stats: &LinkStats,
) -> Result<(Hello, BytesMut), LinkError> {
  socket.set_nodelay(true)?;
  let hello = Frame::Hello(Hello {
    version: VERSION,
    node: config.node,
    incarnation: config.incarnation,
    data_centre: config.data_centre.clone(),
  });
  let mut out = Vec::new();
  wire::encode(&hello, &mut out)?;
  socket.write_all(&out).await?;
  stats.control_out.fetch_add(out.len() as u64, Relaxed);
  stats.bytes_out.fetch_add(out.len() as u64, Relaxed);
  let mut input = BytesMut::with_capacity(1024);
  loop {
    if let Some(bytes) = wire::split(&mut input)? {
      stats.control_in.fetch_add(bytes.len() as u64, Relaxed);
      return match wire::decode(&bytes) {
        Ok(Frame::Hello(peer)) => Ok((peer, input)),
        Err(error @ FrameError::Version { .. }) => Err(error.into()),
        Ok(_) | Err(_) => Err(FrameError::MissingHello.into()),
      };
    }
    let n = socket.read_buf(&mut input).await?;
    if n == 0 {
      return Err(LinkError::Closed);
    }
    stats.bytes_in.fetch_add(n as u64, Relaxed);
  }
}
