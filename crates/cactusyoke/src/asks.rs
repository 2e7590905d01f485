//! Sends control requests to other nodes and answers theirs.

use {
  crate::{
    Core,
    control::{self, Ask, Reply},
  },
  bytes::Bytes,
  cactusyoke_model::NodeId,
  cactusyoke_nodes::IncomingControl,
  std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
  },
};

impl Core {
  /// Sends a control request to another node; `None` without a usable reply within `timeout`.
  pub(crate) async fn ask(&self, node: NodeId, ask: &Ask, timeout: Duration) -> Option<Reply> {
    let reply = match self
      .links
      .send_control(node, control::encode(ask), timeout)
      .await
    {
      Ok(reply) => reply,
      Err(error) => {
        tracing::debug!(event = "ask_failed", %node, %error);
        return None;
      }
    };
    match control::decode(&reply, node) {
      Ok(reply) => Some(reply),
      Err(error) => {
        tracing::warn!(event = "reply_unreadable", %node, %error);
        None
      }
    }
  }

  /// Answers a control request; one that cannot be decoded is declined.
  pub(crate) async fn answer_ask(self: Arc<Self>, incoming: IncomingControl) {
    let IncomingControl { from, body, reply } = incoming;
    match control::decode(&body, from) {
      Ok(ask) => {
        if let Some(answer) = self.reply_to(from, ask).await {
          reply.reply(answer);
        }
      }
      Err(error) => tracing::warn!(event = "ask_unreadable", %from, %error),
    }
  }

  async fn reply_to(self: &Arc<Self>, from: NodeId, ask: Ask) -> Option<Bytes> {
    let rosters = &self.keyed_runs.rosters;
    let reply = match ask {
      Ask::Identity => Reply::Identity(rosters.member()),
      Ask::Witness(request) => {
        let now = self.clock.now();
        Reply::Witness(rosters.witness().handle(from, request, now))
      }
      Ask::Roster(group) => Reply::Roster(rosters.known(group)),
      Ask::NewRoster(group, roster) => {
        self.adopt_roster(group, roster);
        Reply::Done
      }
      Ask::KeyAnswer {
        key,
        fingerprint,
        run,
        wait,
      } => {
        let now = || self.clock.now();
        let kept = self
          .keyed_runs
          .outcome_of(&key, fingerprint, run, wait, now)
          .await;
        Reply::KeyAnswer(kept)
      }
      Ask::Adopted(revision) => {
        if revision > self.config.load().revision {
          self.spread.report_newer(from, revision);
        }
        Reply::Done
      }
      Ask::Changes(since) => Reply::Changes(self.watcher.update_since(since).await?),
      Ask::Revision => Reply::Revision(self.config.load().revision),
      Ask::Suspect(fingerprint) => {
        self
          .crashes
          .quarantine()
          .mark_suspect(fingerprint, self.clock.now());
        Reply::Done
      }
      Ask::Quarantine(notice) => {
        self.adopt_quarantine(notice);
        Reply::Done
      }
    };
    Some(control::encode(&reply))
  }

  /// True while the node accepts no new work.
  pub(crate) fn is_draining(&self) -> bool {
    self.draining.load(Ordering::SeqCst)
  }
}
