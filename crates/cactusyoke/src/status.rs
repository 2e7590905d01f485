//! Status of this node and of the members known to it.

use {
  crate::{
    Core,
    control::{ControlReply, ControlRequest},
  },
  cactusyoke_decisions::membership::{Member, Status, UpstreamState},
  cactusyoke_model::{NodeId, Revision},
  cactusyoke_operators::{MemberView, NodeStatus, PlatformView, StatusView, UpstreamStatus},
  futures_util::stream::{FuturesUnordered, StreamExt},
  std::{
    collections::HashMap,
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
  },
};

/// Time limit for asking another node for its revision.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(500);

impl Core {
  /// Updates the gauges among the metrics.
  pub(crate) fn update_gauges(&self) {
    let metrics = &self.meters.metrics;
    let gate = self.admission.status();
    metrics.limit.store(u64::from(gate.limit), Relaxed);
    metrics.in_flight.store(u64::from(gate.in_flight), Relaxed);
    metrics.queued.store(u64::from(gate.queued), Relaxed);
    let links = self.links.stats();
    let (datagrams_out, datagrams_in) = self.members.datagram_bytes();
    let sent = links.control_out() + datagrams_out;
    let received = links.control_in() + datagrams_in;
    metrics.control_sent.store(sent, Relaxed);
    metrics.control_received.store(received, Relaxed);
    metrics.set_memory(self.memory.usage());
    let view = self.members.view();
    let count = |status| {
      view
        .members()
        .iter()
        .filter(|member| member.status == status)
        .count() as u64
    };
    metrics.set_members(
      count(Status::Alive),
      count(Status::Suspect),
      count(Status::Dead),
    );
  }
}

/// Collects the status, for which it asks the other nodes for their revisions.
pub(crate) async fn collect(core: &Arc<Core>) -> StatusView {
  let revisions = revisions(core).await;
  let view = core.members.view();
  let members = view
    .members()
    .iter()
    .map(|member| {
      let revision = revisions
        .get(&member.record.node)
        .copied()
        .unwrap_or_default();
      member_view(member, revision)
    })
    .collect();
  StatusView {
    node: node_status(core),
    upstream: upstream_status(core),
    platform: platform_view(core),
    members,
  }
}

/// Revisions that the live members have adopted; a member that does not reply is left out.
async fn revisions(core: &Arc<Core>) -> HashMap<NodeId, Revision> {
  let own = core.settings.node;
  let view = core.members.view();
  let mut replies = view
    .live()
    .map(|member| member.record.node)
    .filter(|node| *node != own)
    .map(|node| async move {
      (
        node,
        core
          .send_control(node, &ControlRequest::Revision, CONTROL_TIMEOUT)
          .await,
      )
    })
    .collect::<FuturesUnordered<_>>();
  let mut revisions = HashMap::from([(own, core.config.load().revision)]);
  while let Some((node, reply)) = replies.next().await {
    if let Some(ControlReply::Revision(revision)) = reply {
      revisions.insert(node, revision);
    }
  }
  revisions
}

fn node_status(core: &Core) -> NodeStatus {
  let config = core.config.load();
  NodeStatus {
    node: core.settings.node,
    incarnation: core.incarnation,
    data_centre: core.settings.centre.clone(),
    revision: config.revision,
    in_force: config.in_force.clone(),
    draining: core.is_draining(),
    uptime_seconds: core.clock.now().duration_since(core.started).as_secs(),
  }
}

fn upstream_status(core: &Core) -> Option<UpstreamStatus> {
  let view = core.upstream_view.load();
  let announcement = view.announcement.as_ref()?;
  let gate = core.admission.status();
  Some(UpstreamStatus {
    service: announcement.service.clone(),
    state: view.phase.to_string(),
    slots: announcement.slots.0,
    limit: gate.limit,
    in_flight: gate.in_flight,
    queued: gate.queued,
    level: gate.level.to_string(),
  })
}

fn platform_view(core: &Core) -> PlatformView {
  let status = core.watcher.platform_status();
  let now = core.clock.now();
  PlatformView {
    reachable: status.error.is_none() && status.last_success.is_some(),
    watching: status.watching,
    last_success_seconds: status
      .last_success
      .map(|at| now.duration_since(at).as_secs()),
    lower_revision: status.stale_revision,
    error: status.error.clone(),
  }
}

fn member_view(member: &Member, revision: Revision) -> MemberView {
  let state = match member.record.state {
    UpstreamState::Announced => "announced",
    UpstreamState::Warming => "warming",
    UpstreamState::Serving => "serving",
    UpstreamState::Draining => "draining",
    UpstreamState::Gone => "gone",
  };
  let status = match member.status {
    Status::Alive => "alive",
    Status::Suspect => "suspected",
    Status::Dead => "dead",
    Status::Left => "left",
  };
  MemberView {
    node: member.record.node,
    incarnation: member.record.incarnation,
    service: member.record.service.clone(),
    state: state.to_owned(),
    status: status.to_owned(),
    slots: member.record.slots.0,
    revision,
  }
}
