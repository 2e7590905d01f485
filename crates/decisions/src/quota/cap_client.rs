use {
  super::{
    Budget, GROUPS, LeaseReply, LeaseRequest, QuotaBounds, Timing,
    granter_link::GranterLink,
    group_of,
    holding::{Holding, Source},
    rank_granters,
  },
  cactusyoke_model::{NodeId, TenantName, UsageCap},
  std::{
    collections::HashMap,
    time::{Duration, Instant},
  },
  xxhash_rust::xxh3::xxh3_64,
};

/// Decision on a request of a tenant with a cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
  /// The request may run.
  Admit(Ticket),
  /// The tenant is at its cap.
  Refuse {
    /// Time after which the request may be admitted.
    retry_after: Duration,
  },
}

/// Proof of admission, to be returned when the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket(Source);

/// Keeps the requests that enter at one node within the caps.
#[derive(Clone, Debug)]
pub struct CapClient {
  node: NodeId,
  process: u64,
  /// Number of nodes among which the caps are divided.
  nodes: u32,
  timing: Timing,
  links: Vec<Link>,
  holdings: HashMap<TenantName, Holding>,
  /// Position of the node among all in the time of a change of granters, from 0 to 1.
  spread: f64,
  /// Whether an exchange has become urgent since the last call of [`Self::take_wake`].
  wake: bool,
}

#[derive(Clone, Debug)]
struct Link {
  granter: GranterLink,
  due: Instant,
  /// Time from which an early exchange may be sent.
  early: Instant,
  urgent: bool,
  in_use: bool,
}

impl CapClient {
  /// Client of a process that starts now. It delegates nothing before what an earlier process of the
  /// node may have delegated has ended.
  pub fn new(node: NodeId, process: u64, now: Instant) -> Self {
    let link = Link {
      granter: GranterLink::new(now + Timing::HOLD),
      due: now,
      early: now,
      urgent: false,
      in_use: false,
    };
    Self {
      node,
      process,
      nodes: 1,
      timing: Timing::new(1),
      links: vec![link; GROUPS as usize],
      holdings: HashMap::new(),
      spread: (xxh3_64(node.to_string().as_bytes()) % 1024) as f64 / 1024.0,
      wake: false,
    }
  }

  /// Chooses the granters of the groups that have tenants with a cap among the live nodes; `count`
  /// nodes have a part of the caps.
  pub fn set_members(
    &mut self,
    live: &[NodeId],
    count: u32,
    in_use: impl Fn(u32) -> bool,
    now: Instant,
  ) {
    self.nodes = count.max(1);
    self.timing = Timing::new(self.nodes);
    for group in 0..GROUPS {
      self.links[group as usize].in_use = in_use(group);
      if !in_use(group) {
        continue;
      }
      let ranked = rank_granters(group, live.iter().copied());
      let link = &mut self.links[group as usize];
      if link.granter.choose(&ranked, self.spread, now) {
        link.due = now;
        for (_, holding) in self
          .holdings
          .iter_mut()
          .filter(|(tenant, _)| group_of(tenant) == group)
        {
          holding.change_granter();
        }
      }
    }
  }

  /// Decides on a request.
  pub fn admit(
    &mut self,
    tenant: &TenantName,
    cap: UsageCap,
    bounds: &QuotaBounds,
    now: Instant,
  ) -> Admission {
    let budget = Budget::new(cap, bounds);
    let link = &mut self.links[group_of(tenant) as usize];
    let open = link.granter.open_share(tenant, now);
    let credit = match open {
      Some((share, age)) if budget.opens_unasked(share, age) => budget.credit_limit(self.nodes),
      _ => 0,
    };
    let holding = self
      .holdings
      .entry(tenant.clone())
      .or_insert_with(|| Holding::new(cap, now));
    let source = holding.admit(cap, credit, now);
    if holding.is_urgent() && !link.urgent {
      link.urgent = true;
      self.wake = true;
    }
    match source {
      Some(source) => Admission::Admit(Ticket(source)),
      None => Admission::Refuse {
        retry_after: holding
          .retry_delay(&budget, self.nodes)
          .max(self.timing.interval),
      },
    }
  }

  /// Takes back the token of a request that has not run and never will.
  pub fn refund(&mut self, tenant: &TenantName, ticket: Ticket) {
    if let Some(holding) = self.holdings.get_mut(tenant) {
      holding.refund(ticket.0);
    }
  }

  /// True when a request made an exchange urgent since the last call of this method.
  pub fn take_wake(&mut self) -> bool {
    std::mem::take(&mut self.wake)
  }

  /// Time of the next regular exchange, or of an early one that is needed.
  pub fn next_exchange(&self) -> Option<Instant> {
    let ready = self.links.iter().filter(|link| link.is_free());
    ready.map(Link::next).min()
  }

  /// Requests to send now. Each has to be followed by [`Self::apply`] or [`Self::fail`], the latter
  /// after [`Timing::timeout`] without a reply.
  pub fn exchanges(&mut self, now: Instant) -> Vec<(NodeId, LeaseRequest)> {
    let mut requests = Vec::new();
    for group in 0..GROUPS {
      let link = &mut self.links[group as usize];
      let Some(granter) = link.granter.granter() else {
        continue;
      };
      if !link.is_free() || now < link.next() {
        continue;
      }
      let (seq, stamp) = link.granter.send(now);
      link.due = now + self.timing.interval;
      link.early = now + Timing::MIN_GAP;
      link.urgent = false;
      let own = |tenant: &TenantName| group_of(tenant) == group;
      self
        .holdings
        .retain(|tenant, holding| !own(tenant) || !holding.is_idle(now));
      let demands = self
        .holdings
        .iter_mut()
        .filter(|(tenant, _)| own(tenant))
        .map(|(tenant, holding)| holding.demand(tenant, &self.timing, now))
        .collect();
      let request = LeaseRequest {
        group,
        process: self.process,
        seq,
        stamp,
        nodes: self.nodes,
        demands,
      };
      requests.push((granter, request));
    }
    requests
  }

  /// Applies the reply to a request.
  pub fn apply(&mut self, from: NodeId, request: &LeaseRequest, reply: &LeaseReply, now: Instant) {
    let link = &mut self.links[request.group as usize];
    let first = !link.granter.is_stamped();
    let Some(sent_at) = link.granter.receive(from, reply, now) else {
      return;
    };
    // The share can be delegated with the next request.
    link.urgent |= first;
    for (demand, grant) in request.demands.iter().zip(&reply.grants) {
      if let Some(holding) = self.holdings.get_mut(&demand.tenant) {
        holding.apply(*grant, sent_at, now);
        link.urgent |= holding.is_urgent();
      }
    }
  }

  /// Records that a request was not answered.
  pub fn fail(&mut self, request: &LeaseRequest, now: Instant) {
    let link = &mut self.links[request.group as usize];
    if !link.granter.fail(request.seq, self.node, now) {
      return;
    }
    for demand in &request.demands {
      if let Some(holding) = self.holdings.get_mut(&demand.tenant) {
        holding.fail();
      }
    }
  }

  /// Times of the exchange.
  pub fn timing(&self) -> Timing {
    self.timing
  }
}

impl Link {
  fn is_free(&self) -> bool {
    self.in_use && self.granter.sent_at().is_none()
  }

  fn next(&self) -> Instant {
    if self.urgent {
      self.due.min(self.early)
    } else {
      self.due
    }
  }
}
