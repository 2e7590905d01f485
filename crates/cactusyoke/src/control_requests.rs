//! Sends control requests to other nodes and answers theirs.

use {
  crate::{
    Core,
    control::{self, ControlReply, ControlRequest},
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
  pub(crate) async fn send_control(
    &self,
    node: NodeId,
    request: &ControlRequest,
    timeout: Duration,
  ) -> Option<ControlReply> {
    let reply = match self
      .links
      .send_control(node, control::encode(request), timeout)
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
  pub(crate) async fn answer_control(self: Arc<Self>, incoming: IncomingControl) {
    let IncomingControl { from, body, reply } = incoming;
    match control::decode(&body, from) {
      Ok(request) => {
        if let Some(answer) = self.reply_to(from, request).await {
          reply.reply(answer);
        }
      }
      Err(error) => tracing::warn!(event = "ask_unreadable", %from, %error),
    }
  }

  async fn reply_to(self: &Arc<Self>, from: NodeId, request: ControlRequest) -> Option<Bytes> {
    let rosters = &self.keyed_runs.rosters;
    let reply = match request {
      ControlRequest::Identity => ControlReply::Identity(rosters.member()),
      ControlRequest::Witness(request) => {
        let now = self.clock.now();
        ControlReply::Witness(rosters.witness().handle(from, request, now))
      }
      ControlRequest::Roster(group) => ControlReply::Roster(rosters.known(group)),
      ControlRequest::NewRoster(group, roster) => {
        self.adopt_roster(group, roster);
        ControlReply::Done
      }
      ControlRequest::KeyAnswer {
        key,
        fingerprint,
        run,
        wait,
      } => {
        let now = || self.clock.now();
        let outcome = self
          .keyed_runs
          .outcome_of(&key, fingerprint, run, wait, now)
          .await;
        ControlReply::KeyAnswer(outcome)
      }
      ControlRequest::Adopted(revision) => {
        if revision > self.config.load().revision {
          self.spread.report_newer(from, revision);
        }
        ControlReply::Done
      }
      ControlRequest::Changes(since) => {
        ControlReply::Changes(self.watcher.update_since(since).await?)
      }
      ControlRequest::Revision => ControlReply::Revision(self.config.load().revision),
      ControlRequest::Suspects(crash, suspects) => {
        self.adopt_suspects(crash, suspects);
        ControlReply::Done
      }
      ControlRequest::Quarantines(notices) => {
        self.adopt_quarantines(notices);
        ControlReply::Done
      }
      ControlRequest::Release(fingerprint) => {
        let now = self.clock.now();
        if self.crashes.quarantine().release(fingerprint, now) {
          tracing::info!(event = "quarantine_released", %fingerprint, node = %from);
        }
        ControlReply::Done
      }
      ControlRequest::Leases(request) => ControlReply::Leases(self.grant(from, &request)),
      ControlRequest::Directory { state, wait } => {
        ControlReply::Directory(self.directory_since(&state, wait).await)
      }
    };
    Some(control::encode(&reply))
  }

  /// True while the node accepts no new work.
  pub(crate) fn is_draining(&self) -> bool {
    self.draining.load(Ordering::SeqCst)
  }
}
