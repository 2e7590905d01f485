use {
  crate::{
    LinkStats, LinksConfig,
    link::{Link, dial},
  },
  cactusyoke_model::NodeId,
  std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
  },
  tokio::sync::Mutex as AsyncMutex,
  tokio_util::sync::{CancellationToken, DropGuard},
};

/// Time after a failed connection attempt during which calls fail at once. Without it, each call to
/// a node that is down would make an attempt and write a log line.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Number of known peers from which on those without an open link are removed.
const MAX_PEERS: usize = 4_096;

/// Outgoing link to one node, opened on demand.
#[derive(Debug, Default)]
struct Peer {
  link: Mutex<Option<Arc<Link>>>,
  /// Time of the last attempt if it failed; locked while an attempt is made.
  last_failure: AsyncMutex<Option<Instant>>,
}

impl Peer {
  fn open_link(&self) -> Option<Arc<Link>> {
    let link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
    link.clone().filter(|link| !link.is_closed())
  }

  fn replace_link(&self, link: Arc<Link>) {
    *self.link.lock().unwrap_or_else(PoisonError::into_inner) = Some(link);
  }

  /// Drops the link if it is closed; an open link that has replaced it stays.
  fn forget_closed(&self) {
    let mut link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
    if link.as_ref().is_some_and(|link| link.is_closed()) {
      *link = None;
    }
  }
}

/// Links that this node has opened, by the node at the other end.
#[derive(Debug)]
pub struct Peers {
  config: Arc<LinksConfig>,
  stats: Arc<LinkStats>,
  by_node: Mutex<HashMap<NodeId, Arc<Peer>>>,
  /// Cancelled on drop, which ends the tasks of the links.
  closed: CancellationToken,
  _close: DropGuard,
}

impl Peers {
  /// No links yet.
  pub fn new(config: Arc<LinksConfig>, stats: Arc<LinkStats>) -> Self {
    let closed = CancellationToken::new();
    Self {
      config,
      stats,
      by_node: Mutex::default(),
      closed: closed.clone(),
      _close: closed.drop_guard(),
    }
  }

  fn lock(&self) -> MutexGuard<'_, HashMap<NodeId, Arc<Peer>>> {
    self.by_node.lock().unwrap_or_else(PoisonError::into_inner)
  }

  fn peer(&self, node: NodeId) -> Arc<Peer> {
    let mut peers = self.lock();
    if let Some(peer) = peers.get(&node) {
      return Arc::clone(peer);
    }
    if peers.len() >= MAX_PEERS {
      // A peer that a call is using has another owner.
      peers.retain(|_, peer| peer.open_link().is_some() || Arc::strong_count(peer) > 1);
    }
    Arc::clone(peers.entry(node).or_default())
  }

  /// Returns the open link to a node, connecting if there is none. `None` if connecting fails, or
  /// has failed within the pause between attempts.
  pub async fn link(&self, node: NodeId) -> Option<Arc<Link>> {
    let peer = self.peer(node);
    if let Some(link) = peer.open_link() {
      return Some(link);
    }
    let mut last_failure = peer.last_failure.lock().await;
    if let Some(link) = peer.open_link() {
      return Some(link);
    }
    if last_failure.is_some_and(|last_failure| last_failure.elapsed() < RECONNECT_PAUSE) {
      return None;
    }
    let dialled = dial(node, Arc::clone(&self.config), Arc::clone(&self.stats)).await;
    let connection = match dialled {
      Ok(connection) => connection,
      Err(error) => {
        if last_failure.replace(Instant::now()).is_none() {
          tracing::warn!(peer = %node, %error, "connecting to the node failed");
        } else {
          tracing::debug!(peer = %node, %error, "connecting to the node failed again");
        }
        return None;
      }
    };
    *last_failure = None;
    let link = Arc::clone(&connection.link);
    peer.replace_link(Arc::clone(&link));
    drop(last_failure);
    let closed = self.closed.clone();
    tokio::spawn(async move {
      closed.run_until_cancelled(connection.run_opener()).await;
      peer.forget_closed();
    });
    Some(link)
  }
}
