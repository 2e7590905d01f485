//! Follows the directory as known to another node, so that only a few nodes watch the store.

use {
  crate::{
    Core,
    control::{ControlReply, ControlRequest, DirectoryReply},
    directory_client::DirectoryClient,
    member_source::MemberSource,
  },
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
  loop {
    match directory.sources().peer {
      Some(peer) => {
        core.fetch_directory(&directory, peer).await;
        sleep(REQUEST_PAUSE).await;
      }
      None => sleep(NO_PEER_PAUSE).await,
    }
  }
}

impl Core {
  async fn fetch_directory(&self, directory: &DirectoryClient, peer: NodeId) {
    let after = directory.version();
    let request = ControlRequest::Directory {
      after,
      wait: CHANGES_WAIT,
    };
    let limit = CHANGES_WAIT + REPLY_TIMEOUT;
    let reply = self.send_control(peer, &request, limit).await;
    let Some(ControlReply::Directory(Some(reply))) = reply else {
      directory.record_peer_failure(peer);
      return;
    };
    directory.apply_update(peer, after, &reply.update, reply.age);
    if reply.revision > self.config.load().revision {
      self.spread.report_newer(peer, reply.revision);
    }
  }

  /// What a node lacks that knows the directory up to version `after`; `None` if this node does not
  /// know the directory.
  pub(crate) async fn directory_since(
    &self,
    after: Option<u64>,
    wait: Duration,
  ) -> Option<DirectoryReply> {
    let MemberSource::Directory(directory) = &self.members else {
      return None;
    };
    let update = directory
      .update_since(after, wait.min(CHANGES_WAIT))
      .await?;
    Some(DirectoryReply {
      update,
      age: directory.age()?,
      revision: self.config.load().revision,
    })
  }
}
