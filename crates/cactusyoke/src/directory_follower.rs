//! Follows the directory as known to another node, so that only a few nodes watch the store.

use {
  crate::{
    Core,
    control::{ControlReply, ControlRequest, DirectoryReply},
    directory_client::DirectoryClient,
    member_source::MemberSource,
  },
  cactusyoke_decisions::membership::{FollowerState, Freshness, PeerReply},
  cactusyoke_model::NodeId,
  std::{sync::Arc, time::Duration},
  tokio::time::sleep,
};

/// Time for which the other node waits for changes before it answers.
const CHANGES_WAIT: Duration = Duration::from_secs(1);

/// Time limit of a request in addition to the wait for changes.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between two requests, so that changes in quick succession are fetched at once.
const REQUEST_PAUSE: Duration = Duration::from_millis(50);

/// Pause of a node that knows no other node.
const NO_PEER_PAUSE: Duration = Duration::from_millis(500);

/// Starts to follow other nodes, if the known nodes come from the directory.
pub(crate) fn start(core: &Arc<Core>) {
  let MemberSource::Directory(directory) = &core.members else {
    return;
  };
  let following = follow(Arc::clone(core), Arc::clone(directory));
  directory.add_follower(tokio::spawn(following));
}

async fn follow(core: Arc<Core>, directory: Arc<DirectoryClient>) {
  let mut last = None;
  loop {
    let Some(peer) = directory.sources().peer else {
      directory.lose_peer();
      sleep(NO_PEER_PAUSE).await;
      continue;
    };
    let known = last.and_then(|(node, freshness)| (node == peer).then_some(freshness));
    let freshness = core.fetch_directory(&directory, peer, known).await;
    last = freshness.map(|freshness| (peer, freshness));
    sleep(REQUEST_PAUSE).await;
  }
}

impl Core {
  /// Fetches changes from a peer, and returns how that one is kept up to date; `known` is what it
  /// last said about that.
  async fn fetch_directory(
    &self,
    directory: &DirectoryClient,
    peer: NodeId,
    known: Option<Freshness>,
  ) -> Option<Freshness> {
    let state = FollowerState {
      version: directory.version(),
      revision: self.config.load().revision,
      source: known,
    };
    let request = ControlRequest::Directory {
      state,
      wait: CHANGES_WAIT,
    };
    let limit = CHANGES_WAIT + REPLY_TIMEOUT;
    let reply = self.send_control(peer, &request, limit).await;
    let Some(ControlReply::Directory(Some(reply))) = reply else {
      directory.record_peer_failure(peer);
      return None;
    };
    let stated = PeerReply {
      version: reply.update.version,
      freshness: reply.freshness,
      before: known,
    };
    directory.apply_update(peer, state.version, &reply.update, stated);
    if reply.revision > self.config.load().revision {
      self.spread.report_newer(peer, reply.revision);
    }
    Some(reply.freshness)
  }

  /// What a node lacks that knows `state`; `None` if this node does not know the directory.
  pub(crate) async fn directory_since(
    &self,
    state: &FollowerState,
    wait: Duration,
  ) -> Option<DirectoryReply> {
    let MemberSource::Directory(directory) = &self.members else {
      return None;
    };
    let wait = wait.min(CHANGES_WAIT);
    let (update, freshness) = directory.update_since(state, wait).await?;
    Some(DirectoryReply {
      update,
      freshness,
      revision: self.config.load().revision,
    })
  }
}
