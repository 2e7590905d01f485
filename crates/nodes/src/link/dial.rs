//! Opening of connections and the exchange of greetings.

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

/// Opens a connection to a node.
pub async fn dial(
  node: NodeId,
  config: Arc<LinksConfig>,
  stats: Arc<LinkStats>,
) -> Result<Connection, LinkError> {
  let limit = config.connect_timeout;
  let connected = timeout(limit, async {
    let mut socket = TcpStream::connect(node.0).await?;
    let (peer, rest) = greet(&mut socket, &config, &stats).await?;
    if peer.node != node {
      return Err(LinkError::WrongNode(peer.node));
    }
    Ok((socket, peer, rest))
  });
  let (socket, peer, rest) = connected.await.unwrap_or(Err(LinkError::Timeout))?;
  let link = Arc::new(Link::new(config, stats, peer));
  Ok(Connection::new(link, socket, rest))
}

/// Takes a connection that another node opened.
pub async fn accept(
  mut socket: TcpStream,
  config: Arc<LinksConfig>,
  stats: Arc<LinkStats>,
) -> Result<Connection, LinkError> {
  let greeted = timeout(config.receive_timeout, greet(&mut socket, &config, &stats)).await;
  let (peer, rest) = greeted.unwrap_or(Err(LinkError::Timeout))?;
  let link = Arc::new(Link::new(config, stats, peer));
  Ok(Connection::new(link, socket, rest))
}

/// Sends this node's greeting, then reads the peer's; both sides learn of another version.
async fn greet(
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
      return Err(LinkError::Ended);
    }
    stats.bytes_in.fetch_add(n as u64, Relaxed);
  }
}
