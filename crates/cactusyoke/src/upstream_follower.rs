//! Follows the lifecycle of the upstream: publishes its state to the other nodes and sizes the
//! gate.

use {
  crate::{Core, Settings},
  cactusyoke_decisions::{
    load::GateConfig,
    membership::{UpstreamInfo, UpstreamState},
  },
  cactusyoke_model::{Revision, Slots},
  cactusyoke_upstreams::{Phase, UpstreamView, announce::Announcement},
  std::{
    sync::{Arc, PoisonError},
    time::Duration,
  },
};

/// Maximum wait in the queue while no preset is in force.
const DEFAULT_QUEUE_WAIT: Duration = Duration::from_millis(200);

/// Configuration of the gate until the upstream announces itself.
pub(crate) fn initial_gate(settings: &Settings) -> GateConfig {
  let policy = settings.interface.gate_policy();
  GateConfig {
    slots: Slots(1),
    max_queued: settings.queue,
    queue_wait: DEFAULT_QUEUE_WAIT,
    cold_start: Duration::ZERO,
    adaptive_limit: policy.adaptive_limit,
    nested_wait: policy.nested_wait,
  }
}

/// Starts following the upstream.
pub(crate) fn start(core: &Arc<Core>) {
  let core = Arc::clone(core);
  tokio::spawn(async move {
    let mut views = core.upstream_view.watch();
    let mut last = None;
    loop {
      let view = Arc::clone(&views.borrow_and_update());
      core.follow(&view, &mut last);
      if views.changed().await.is_err() {
        return;
      }
    }
  });
}

/// Publishes the upstream's state to the other nodes.
pub(crate) fn publish(core: &Core) {
  let view = core.upstream_view.load();
  let state = match view.phase {
    Phase::Gone => UpstreamState::Gone,
    _ if core.is_draining() => UpstreamState::Draining,
    Phase::Announced => UpstreamState::Announced,
    Phase::Warming => UpstreamState::Warming,
    Phase::Serving => UpstreamState::Serving,
    Phase::Draining => UpstreamState::Draining,
  };
  let upstream = match &view.announcement {
    Some(announcement) => UpstreamInfo {
      service: Some(announcement.service.clone()),
      state,
      slots: announcement.slots,
      connections: announcement.connections,
    },
    None => UpstreamInfo::default(),
  };
  core.members.set_upstream(upstream);
}

impl Core {
  fn follow(self: &Arc<Self>, view: &UpstreamView, last: &mut Option<(Announcement, Phase)>) {
    publish(self);
    if matches!(view.phase, Phase::Draining | Phase::Gone) {
      self.admission.refuse_waiting();
    }
    let Some(announcement) = &view.announcement else {
      return;
    };
    let restarted = match last {
      None => true,
      Some((known, phase)) => {
        !known.is_same_process(announcement) || (*phase == Phase::Gone && view.phase != Phase::Gone)
      }
    };
    let resized = last
      .as_ref()
      .is_some_and(|(known, _)| known.slots != announcement.slots);
    if restarted && view.phase != Phase::Gone {
      self.admission.restart(self.gate_config(announcement));
    } else if resized {
      let policy = self.settings.interface.gate_policy();
      self.admission.set_slots(policy.usable(announcement.slots));
    }
    let replaced = last
      .as_ref()
      .is_some_and(|(known, _)| !known.is_same_process(announcement));
    if replaced {
      self.record_restart();
    }
    *last = Some((announcement.clone(), view.phase));
  }

  fn gate_config(&self, announcement: &Announcement) -> GateConfig {
    let preset = self.config.load().preset().cloned();
    let policy = self.settings.interface.gate_policy();
    GateConfig {
      slots: policy.usable(announcement.slots),
      max_queued: self.settings.queue,
      queue_wait: preset.map_or(DEFAULT_QUEUE_WAIT, |preset| preset.queue_wait),
      cold_start: if policy.ramp_up {
        announcement.cold_start
      } else {
        Duration::ZERO
      },
      adaptive_limit: policy.adaptive_limit,
      nested_wait: policy.nested_wait,
    }
  }

  /// Puts an adopted revision in force on this node and spreads it; only the first call for a
  /// revision has an effect.
  ///
  /// Requests use a configuration as soon as it is adopted, so each request calls this, and so does
  /// the task that follows adopted revisions.
  pub(crate) fn put_in_force(&self, revision: Revision) {
    let mut in_force = self.in_force.lock().unwrap_or_else(PoisonError::into_inner);
    if *in_force >= revision {
      return;
    }
    *in_force = revision;
    if let Some(preset) = self.config.load().preset() {
      self.admission.set_queue_wait(preset.queue_wait);
      self.keyed_runs.set_memory(preset.key_memory);
      self.load_control.reset_route_state();
      self.meters.adopt(preset);
    }
    self.meters.metrics.adopted(revision);
    self.spread.report_adopted(revision);
  }
}
