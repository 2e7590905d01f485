use {
  crate::{
    LinkStats, LinksConfig,
    link::{Link, dial},
  },
  cactusyoke_model::NodeId,
  std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
  },
  tokio::sync::Mutex as AsyncMutex,
  tokio_util::sync::{CancellationToken, DropGuard},
};

#[derive(Debug, Default)]
struct Attempts {
  count: u64,
  failed: bool,
}

/// Link to one node, opened on demand.
#[derive(Debug, Default)]
struct Peer {
  link: Mutex<Option<Arc<Link>>>,
  attempts: Mutex<u64>,
  dialling: AsyncMutex<Attempts>,
}

impl Peer {
  fn open_link(&self) -> Option<Arc<Link>> {
    let link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
    link.clone().filter(|link| !link.is_closed())
  }

  fn attempts(&self) -> MutexGuard<'_, u64> {
    self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

/// Links that this node has opened.
#[derive(Debug)]
pub struct Peers {
  config: Arc<LinksConfig>,
  stats: Arc<LinkStats>,
  nodes: Arc<Mutex<HashMap<NodeId, Arc<Peer>>>>,
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
      nodes: Arc::default(),
      closed: closed.clone(),
      _close: closed.drop_guard(),
    }
  }

  /// The open link to a node, opened when there is none. `None` when that failed; callers that
  /// waited for the same attempt share its failure.
  pub async fn link(&self, node: NodeId) -> Option<Arc<Link>> {
    let peer = Arc::clone(lock(&self.nodes).entry(node).or_default());
    if let Some(link) = peer.open_link() {
      return Some(link);
    }
    let seen = *peer.attempts();
    let mut dialling = peer.dialling.lock().await;
    if let Some(link) = peer.open_link() {
      return Some(link);
    }
    if dialling.count > seen && dialling.failed {
      return None;
    }
    let dialled = dial(node, Arc::clone(&self.config), Arc::clone(&self.stats)).await;
    dialling.count += 1;
    *peer.attempts() = dialling.count;
    dialling.failed = dialled.is_err();
    let connection = match dialled {
      Ok(connection) => connection,
      Err(error) => {
        tracing::warn!(peer = %node, %error, "the link cannot be opened");
        remove(&self.nodes, node, &peer);
        return None;
      }
    };
    let link = Arc::clone(&connection.link);
    *peer.link.lock().unwrap_or_else(PoisonError::into_inner) = Some(Arc::clone(&link));
    drop(dialling);
    let (peers, closed) = (Arc::clone(&self.nodes), self.closed.clone());
    tokio::spawn(async move {
      closed.run_until_cancelled(connection.run_opener()).await;
      remove(&peers, node, &peer);
    });
    Some(link)
  }
}

fn lock(peers: &Mutex<HashMap<NodeId, Arc<Peer>>>) -> MutexGuard<'_, HashMap<NodeId, Arc<Peer>>> {
  peers.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Removes a peer whose link is closed, unless another has taken its place.
fn remove(peers: &Mutex<HashMap<NodeId, Arc<Peer>>>, node: NodeId, peer: &Arc<Peer>) {
  let mut peers = lock(peers);
  let same = peers
    .get(&node)
    .is_some_and(|found| Arc::ptr_eq(found, peer));
  if same && peer.open_link().is_none() {
    peers.remove(&node);
  }
}
