//! Usage caps of tenants: exchanges between this node and the granters of the caps.
//!
//! The decisions are in `cactusyoke_decisions::quota`. A request only looks at what this node holds;
//! the exchanges run beside it, and only while a tenant of the preset has a cap.

use {
  crate::{
    Core,
    control::{ControlReply, ControlRequest},
    event_limiter::{EventLimiter, Verdict},
    member_source::MemberSource,
  },
  cactusyoke_decisions::quota::{
    Admission, CapClient, GROUPS, Granter, LeaseReply, LeaseRequest, NodeCount, QuotaBounds,
    Ticket, group_of,
  },
  cactusyoke_model::{
    CallFailure, Incarnation, NodeId, NotRunReason, Preset, Tenant, TenantName, UsageCap,
  },
  std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering::Relaxed},
    time::{Duration, Instant},
  },
  tokio::{sync::Notify, time::timeout},
  tokio_util::sync::CancellationToken,
};

/// Time between two looks at the members, and at the preset while no tenant has a cap.
const VIEW_INTERVAL: Duration = Duration::from_millis(500);

struct State {
  client: CapClient,
  count: NodeCount,
}

/// Usage caps at one node.
pub(crate) struct UsageCaps {
  bounds: QuotaBounds,
  state: Mutex<State>,
  /// Granters of the groups for which other nodes may choose this one.
  granters: Mutex<Vec<Granter>>,
  /// Notified when an exchange is needed early.
  wake: Notify,
  log_limiter: EventLimiter,
}

impl fmt::Debug for UsageCaps {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.debug_struct("UsageCaps")
      .field("bounds", &self.bounds)
      .finish_non_exhaustive()
  }
}

/// Admitted request of a tenant with a cap.
#[derive(Clone, Debug)]
pub(crate) struct Admitted {
  tenant: TenantName,
  ticket: Ticket,
}

impl UsageCaps {
  pub(crate) fn new(bounds: QuotaBounds, node: NodeId, process: Incarnation, now: Instant) -> Self {
    let state = State {
      client: CapClient::new(node, process.0, now),
      count: NodeCount::default(),
    };
    Self {
      bounds,
      state: Mutex::new(state),
      granters: Mutex::new(vec![Granter::new(process.0, now); GROUPS as usize]),
      wake: Notify::new(),
      log_limiter: EventLimiter::default(),
    }
  }

  /// Admits a request of a tenant, unless all nodes together have admitted too many.
  pub(crate) fn admit(
    &self,
    tenant: &Tenant,
    now: Instant,
  ) -> Result<Option<Admitted>, CallFailure> {
    let Some(cap) = tenant.cap else {
      return Ok(None);
    };
    let mut state = self.lock();
    let admission = state.client.admit(&tenant.name, cap, &self.bounds, now);
    let wake = state.client.take_wake();
    drop(state);
    if wake {
      self.wake.notify_one();
    }
    match admission {
      Admission::Admit(ticket) => Ok(Some(Admitted {
        tenant: tenant.name.clone(),
        ticket,
      })),
      Admission::Refuse { retry_after } => {
        if let Verdict::Write { omitted } = self.log_limiter.check(now) {
          tracing::info!(
            event = "usage_cap_reached",
            tenant = %tenant.name,
            rate = %cap.rate,
            burst = cap.burst,
            omitted
          );
        }
        let failure = CallFailure::not_run(NotRunReason::UsageCap);
        // Nothing that was admitted before counts after a window.
        Err(failure.with_retry_delay(retry_after.min(self.bounds.window)))
      }
    }
  }

  /// Gives back the token of a request that did not run.
  pub(crate) fn refund(&self, admitted: &Admitted) {
    self.lock().client.refund(&admitted.tenant, admitted.ticket);
  }

  fn lock(&self) -> MutexGuard<'_, State> {
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

/// Starts the exchanges with granters.
pub(crate) fn start(core: &Arc<Core>, stop: CancellationToken) {
  let core = Arc::clone(core);
  tokio::spawn(async move {
    tokio::select! {
      () = run(core) => {}
      () = stop.cancelled() => {}
    }
  });
}

async fn run(core: Arc<Core>) {
  let mut viewed = None;
  loop {
    let now = core.clock.now();
    let due = viewed.is_none_or(|at| now.saturating_duration_since(at) >= VIEW_INTERVAL);
    if due {
      viewed = Some(now);
      core.update_granters(now);
    }
    let requests = core.usage_caps.lock().client.exchanges(now);
    for (granter, request) in requests {
      if granter == core.settings.node {
        let reply = core.grant(granter, &request);
        core.finish_exchange(granter, &request, reply);
      } else {
        let core = Arc::clone(&core);
        tokio::spawn(async move { core.ask_granter(granter, request).await });
      }
    }
    let now = core.clock.now();
    let next = core.usage_caps.lock().client.next_exchange();
    let pause = next.map_or(VIEW_INTERVAL, |next| next.saturating_duration_since(now));
    let woken = core.usage_caps.wake.notified();
    // Ends at the time limit or when an exchange has become urgent, whichever comes first.
    drop(timeout(pause.min(VIEW_INTERVAL), woken).await);
  }
}

impl Core {
  /// Chooses the granters among the live nodes.
  fn update_granters(&self, now: Instant) {
    let config = self.config.load();
    let Some(preset) = config.preset() else {
      return;
    };
    let mut groups = [false; GROUPS as usize];
    for tenant in preset
      .tenants
      .values()
      .filter(|tenant| tenant.cap.is_some())
    {
      groups[group_of(&tenant.name) as usize] = true;
    }
    let Some(nodes) = self.nodes_with_caps() else {
      return;
    };
    let mut state = self.usage_caps.lock();
    let known = nodes.len().max(self.least_nodes()) as u32;
    let State { client, count } = &mut *state;
    let count = count.update(known * self.separate_centres(), now);
    client.set_members(&nodes, count, |group| groups[group as usize], now);
  }

  /// Live nodes that share the caps with this one; `None` while they are not known.
  fn nodes_with_caps(&self) -> Option<Vec<NodeId>> {
    if let MemberSource::Directory(directory) = &self.members {
      directory.version()?;
    }
    let view = self.members.view();
    Some(view.live().map(|member| member.record.node).collect())
  }

  /// Nodes that exist in any case. A node that starts without reaching any other must not take the
  /// caps for its own.
  fn least_nodes(&self) -> usize {
    let own = self.settings.node;
    let centre = self.settings.centres.get(&self.settings.centre);
    let contacts = centre.map_or(&[][..], |centre| &centre.contacts);
    1 + contacts.iter().filter(|node| **node != own).count()
  }

  /// Number of data centres that divide the caps among themselves. Nodes that find each other by
  /// gossip know only those of their own data centre.
  fn separate_centres(&self) -> u32 {
    match self.members {
      MemberSource::Gossip(_) => self.settings.centres.len().max(1) as u32,
      MemberSource::Directory(_) => 1,
    }
  }

  async fn ask_granter(&self, granter: NodeId, request: LeaseRequest) {
    let limit = self.usage_caps.lock().client.timing().timeout();
    let message = ControlRequest::Leases(request.clone());
    let reply = match self.send_control(granter, &message, limit).await {
      Some(ControlReply::Leases(reply)) => reply,
      _ => None,
    };
    self.finish_exchange(granter, &request, reply);
  }

  fn finish_exchange(&self, granter: NodeId, request: &LeaseRequest, reply: Option<LeaseReply>) {
    let now = self.clock.now();
    let mut state = self.usage_caps.lock();
    let metrics = &self.meters.metrics;
    if let Some(reply) = reply {
      state.client.apply(granter, request, &reply, now);
      let tokens = reply.grants.iter().map(|grant| u64::from(grant.added));
      metrics.cap_tokens.fetch_add(tokens.sum(), Relaxed);
      metrics.cap_exchanges.fetch_add(1, Relaxed);
    } else {
      state.client.fail(request, now);
      metrics.cap_failures.fetch_add(1, Relaxed);
    }
    drop(state);
    self.usage_caps.wake.notify_one();
  }

  /// Answers a node as the granter of a group; `None` for a request that was overtaken.
  pub(crate) fn grant(&self, from: NodeId, request: &LeaseRequest) -> Option<LeaseReply> {
    let config = self.config.load();
    let preset = config.preset().map(Arc::as_ref);
    let now = self.clock.now();
    let mut granters = self
      .usage_caps
      .granters
      .lock()
      .unwrap_or_else(PoisonError::into_inner);
    let granter = granters.get_mut(request.group as usize)?;
    let bounds = &self.usage_caps.bounds;
    granter.handle(from, request, bounds, |tenant| cap_of(preset, tenant), now)
  }
}

fn cap_of(preset: Option<&Preset>, tenant: &TenantName) -> Option<UsageCap> {
  preset?.tenants.get(tenant)?.cap
}
