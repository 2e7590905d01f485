use {
  super::{
    Budget, LeaseReply, LeaseRequest, QuotaBounds, Stamp, Timing, bucket::Bucket,
    delegations::Delegations,
  },
  cactusyoke_model::{NodeId, TenantName, UsageCap},
  std::{
    collections::HashMap,
    time::{Duration, Instant},
  },
};

/// Unit of shares in messages: parts in a million.
pub(super) const SHARE_UNIT: f64 = 1e6;

/// Time without a request after which a full bucket is removed.
const BUCKET_RETENTION: Duration = Duration::from_secs(10);

/// Grants tokens of the tenants of one group.
#[derive(Clone, Debug)]
pub struct Granter {
  process: u64,
  started: Instant,
  delegations: Delegations,
  buckets: HashMap<TenantName, Bucket>,
  /// Process and number of the latest request of each node, and its time.
  latest: HashMap<NodeId, (u64, u64, Instant)>,
  cleaned: Instant,
}

impl Granter {
  /// Granter without delegations. `process` differs from that of earlier processes of the node.
  pub fn new(process: u64, now: Instant) -> Self {
    Self {
      process,
      started: now,
      delegations: Delegations::default(),
      buckets: HashMap::new(),
      latest: HashMap::new(),
      cleaned: now,
    }
  }

  /// Sum of the shares that nodes have delegated.
  pub fn share(&self) -> f64 {
    self.delegations.share()
  }

  /// Answers a request; `None` for one that a later request of the node has overtaken. `cap_of` is
  /// the cap in the configuration of this node, if it knows the tenant.
  pub fn handle(
    &mut self,
    from: NodeId,
    request: &LeaseRequest,
    bounds: &QuotaBounds,
    cap_of: impl Fn(&TenantName) -> Option<UsageCap>,
    now: Instant,
  ) -> Option<LeaseReply> {
    let latest = self.latest.get(&from);
    if latest.is_some_and(|(process, seq, _)| (*process, *seq) >= (request.process, request.seq)) {
      return None;
    }
    self
      .latest
      .insert(from, (request.process, request.seq, now));
    self.expire(now);
    self.accept_delegation(from, request, now);
    let share = self.share();
    let mut grants = Vec::with_capacity(request.demands.len());
    for demand in &request.demands {
      let cap = cap_of(&demand.tenant).unwrap_or(demand.cap);
      let budget = Budget::new(cap, bounds);
      let bucket = self
        .buckets
        .entry(demand.tenant.clone())
        .or_insert_with(|| {
          let gathered = self.delegations.gathered(budget.rate, budget.burst, now);
          Bucket::new(budget, gathered, now)
        });
      bucket.fill(share, now);
      bucket.set_budget(budget, share);
      grants.push(bucket.serve(from, demand, share, now));
    }
    self.clean(share, now);
    let closed = self.buckets.iter_mut().filter_map(|(tenant, bucket)| {
      bucket.fill(share, now);
      bucket.is_closed(share).then(|| tenant.clone())
    });
    Some(LeaseReply {
      closed: closed.collect(),
      stamp: Stamp {
        process: self.process,
        at: now.saturating_duration_since(self.started).as_millis() as u64,
      },
      seq: request.seq,
      share: (share * SHARE_UNIT) as u32,
      age: self.delegations.mean_age(now),
      grants,
    })
  }

  /// Ends delegations, and fills the buckets up to the end of each with the share before it.
  fn expire(&mut self, now: Instant) {
    while let Some(end) = self.delegations.next_end(now) {
      self.fill_all(end);
      self.delegations.remove_ended(end);
      let share = self.share();
      for bucket in self.buckets.values_mut() {
        bucket.limit(share);
      }
    }
  }

  fn accept_delegation(&mut self, from: NodeId, request: &LeaseRequest, now: Instant) {
    let Some(stamp) = request.stamp.filter(|stamp| stamp.process == self.process) else {
      return;
    };
    let until = self.started + Duration::from_millis(stamp.at) + Timing::DELEGATION;
    if until <= now {
      return;
    }
    if self.delegations.changes(from, request.nodes) {
      self.fill_all(now);
    }
    self.delegations.extend(from, request.nodes, until, now);
  }

  fn fill_all(&mut self, now: Instant) {
    let share = self.share();
    for bucket in self.buckets.values_mut() {
      bucket.fill(share, now);
    }
  }

  fn clean(&mut self, share: f64, now: Instant) {
    if now.saturating_duration_since(self.cleaned) < BUCKET_RETENTION {
      return;
    }
    self.cleaned = now;
    let old = |at: Instant| now.saturating_duration_since(at) >= BUCKET_RETENTION;
    self
      .buckets
      .retain(|_, bucket| !old(bucket.asked) || !bucket.is_full(share));
    // A request that is delayed longer than this holds a stamp that has expired.
    self.latest.retain(|_, (_, _, at)| !old(*at));
  }
}
