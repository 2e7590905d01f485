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

/// Time after a failed attempt for which calls fail at once. A node that is down would otherwise
/// get an attempt, and the log a line, for each call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Nodes kept before those without a link are forgotten.
const MAX_UNUSED: usize = 4_096;

/// Link to one node, opened on demand.
#[derive(Debug, Default)]
struct Peer {
  link: Mutex<Option<Arc<Link>>>,
  /// Time of the last attempt when it failed; held while an attempt is made.
  failed: AsyncMutex<Option<Instant>>,
}

impl Peer {
  fn open_link(&self) -> Option<Arc<Link>> {
    let link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
    link.clone().filter(|link| !link.is_closed())
  }

  fn set_link(&self, link: Arc<Link>) {
    *self.link.lock().unwrap_or_else(PoisonError::into_inner) = Some(link);
  }

  /// Forgets a link that has ended, unless another has taken its place.
  fn forget_closed(&self) {
    let mut link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
    if link.as_ref().is_some_and(|link| link.is_closed()) {
      *link = None;
    }
  }
}

/// Links that this node has opened.
#[derive(Debug)]
pub struct Peers {
  config: Arc<LinksConfig>,
  stats: Arc<LinkStats>,
  nodes: Mutex<HashMap<NodeId, Arc<Peer>>>,
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
      nodes: Mutex::default(),
      closed: closed.clone(),
      _close: closed.drop_guard(),
    }
  }

  fn nodes(&self) -> MutexGuard<'_, HashMap<NodeId, Arc<Peer>>> {
    self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
  }

  fn peer(&self, node: NodeId) -> Arc<Peer> {
    let mut nodes = self.nodes();
    if let Some(peer) = nodes.get(&node) {
      return Arc::clone(peer);
    }
    if nodes.len() >= MAX_UNUSED {
      // One that is in use by a call has another owner.
      nodes.retain(|_, peer| peer.open_link().is_some() || Arc::strong_count(peer) > 1);
    }
    Arc::clone(nodes.entry(node).or_default())
  }

  /// The open link to a node, opened when there is none. `None` when that failed now or just
  /// before.
  pub async fn link(&self, node: NodeId) -> Option<Arc<Link>> {
    let peer = self.peer(node);
    if let Some(link) = peer.open_link() {
      return Some(link);
    }
    let mut failed = peer.failed.lock().await;
    if let Some(link) = peer.open_link() {
      return Some(link);
    }
    if failed.is_some_and(|failed| failed.elapsed() < RETRY_PAUSE) {
      return None;
    }
    let dialled = dial(node, Arc::clone(&self.config), Arc::clone(&self.stats)).await;
    let connection = match dialled {
      Ok(connection) => connection,
      Err(error) => {
        if failed.replace(Instant::now()).is_none() {
          tracing::warn!(peer = %node, %error, "the link cannot be opened");
        } else {
          tracing::debug!(peer = %node, %error, "the link still cannot be opened");
        }
        return None;
      }
    };
    *failed = None;
    let link = Arc::clone(&connection.link);
    peer.set_link(Arc::clone(&link));
    drop(failed);
    let closed = self.closed.clone();
    tokio::spawn(async move {
      closed.run_until_cancelled(connection.run_opener()).await;
      peer.forget_closed();
    });
    Some(link)
  }
}
