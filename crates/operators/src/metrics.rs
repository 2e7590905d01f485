//! Metrics of a node: plain atomics that the request path updates and a scrape reads.
//!
//! A label lookup on the request path would cost more than the decision that it counts, so counters
//! are looked up once, when a preset is adopted, and the label sets are bounded.

use {
  crate::{CallMetrics, Scrape, TenantMetrics},
  cactusyoke_memory::MemoryUsage,
  cactusyoke_model::{ClassName, Clock, Revision, ServiceName, TenantName},
  prometheus_client::{encoding, registry::Registry},
  std::{
    array,
    collections::BTreeMap,
    fmt,
    sync::{
      Arc, Mutex, PoisonError,
      atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::Instant,
  },
};

/// Largest number of pairs of service and class with their own counters: 300 services with six
/// classes each. Any further pair is counted under `other`, so that presets cannot fill the memory.
const MAX_LABEL_SETS: usize = 1_800;

/// Largest number of tenants with their own counters. Further tenants, by the order of their names
/// within a preset, are counted under `other`.
const MAX_TENANTS: usize = 200;

/// Label of the tenants without their own counters.
const OTHER_TENANTS: &str = "other";

/// Kinds of calls to the platform.
pub(crate) const PLATFORM_CALLS: [&str; 4] = ["get", "put", "lease", "watch"];
/// Results of calls to the platform.
pub(crate) const PLATFORM_RESULTS: [&str; 8] = [
  "ok",
  "conflict",
  "unavailable",
  "timed-out",
  "too-large",
  "quota",
  "compacted",
  "lease-ended",
];
/// Statuses of members.
pub(crate) const MEMBER_STATUSES: [&str; 3] = ["alive", "suspected", "dead"];

/// Counters by service and class.
pub(crate) type CallMetricsMap = BTreeMap<(String, String), Arc<CallMetrics>>;

/// Counters by tenant.
pub(crate) type TenantMetricsMap = BTreeMap<String, Arc<TenantMetrics>>;

/// Metrics of a node.
#[derive(Debug)]
pub struct Metrics {
  /// Concurrency limit of the upstream next to the node.
  pub limit: AtomicU64,
  /// Calls in flight at that upstream.
  pub in_flight: AtomicU64,
  /// Calls in the queue.
  pub queued: AtomicU64,
  /// Control bytes sent to other nodes.
  pub control_sent: AtomicU64,
  /// Control bytes received from other nodes.
  pub control_received: AtomicU64,
  /// Exchanges with granters of usage caps that were answered.
  pub cap_exchanges: AtomicU64,
  /// Exchanges with granters of usage caps that were not answered.
  pub cap_failures: AtomicU64,
  /// Tokens of usage caps that granters gave to the node.
  pub cap_tokens: AtomicU64,
  clock: Arc<dyn Clock>,
  calls: Mutex<CallMetricsMap>,
  tenants: Mutex<TenantMetricsMap>,
  config: Mutex<Option<(Revision, Instant)>>,
  platform: [[AtomicU64; PLATFORM_RESULTS.len()]; PLATFORM_CALLS.len()],
  members: [AtomicU64; MEMBER_STATUSES.len()],
  memory: Mutex<MemoryUsage>,
}

impl Metrics {
  /// Metrics, all zero.
  pub fn new(clock: Arc<dyn Clock>) -> Self {
    Self {
      limit: AtomicU64::default(),
      in_flight: AtomicU64::default(),
      queued: AtomicU64::default(),
      control_sent: AtomicU64::default(),
      control_received: AtomicU64::default(),
      cap_exchanges: AtomicU64::default(),
      cap_failures: AtomicU64::default(),
      cap_tokens: AtomicU64::default(),
      clock,
      calls: Mutex::default(),
      tenants: Mutex::default(),
      config: Mutex::default(),
      platform: array::from_fn(|_| array::from_fn(|_| AtomicU64::default())),
      members: array::from_fn(|_| AtomicU64::default()),
      memory: Mutex::default(),
    }
  }

  /// Counters of a class of a service, to be kept with the route.
  pub fn calls(&self, service: &ServiceName, class: &ClassName) -> Arc<CallMetrics> {
    let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
    let mut key = (service.to_string(), class.to_string());
    if calls.len() >= MAX_LABEL_SETS && !calls.contains_key(&key) {
      key = ("other".into(), "other".into());
    }
    Arc::clone(calls.entry(key).or_default())
  }

  /// Counters of a tenant, to be kept while it is in the preset in force.
  pub fn tenant(&self, name: &TenantName) -> Arc<TenantMetrics> {
    let mut tenants = self.tenants.lock().unwrap_or_else(PoisonError::into_inner);
    let own = tenants.len() < MAX_TENANTS || tenants.contains_key(name.as_str());
    let label = if own { name.as_str() } else { OTHER_TENANTS };
    Arc::clone(tenants.entry(label.to_owned()).or_default())
  }

  /// Records the adoption of a revision.
  pub fn adopted(&self, revision: Revision) {
    let mut config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
    *config = Some((revision, self.clock.now()));
  }

  /// Counts a call to the platform. Unknown kinds and results are not counted.
  pub fn platform_call(&self, kind: &str, result: &str) {
    let kind = PLATFORM_CALLS.iter().position(|known| *known == kind);
    let result = PLATFORM_RESULTS.iter().position(|known| *known == result);
    if let (Some(kind), Some(result)) = (kind, result) {
      self.platform[kind][result].fetch_add(1, Relaxed);
    }
  }

  /// Sets the number of members that are alive, suspected and dead.
  pub fn set_members(&self, alive: u64, suspected: u64, dead: u64) {
    for (member, count) in self.members.iter().zip([alive, suspected, dead]) {
      member.store(count, Relaxed);
    }
  }

  /// Sets what is held for callers and other nodes.
  pub fn set_memory(&self, usage: MemoryUsage) {
    *self.memory.lock().unwrap_or_else(PoisonError::into_inner) = usage;
  }

  /// All metrics as Prometheus text.
  pub fn encode(&self) -> Result<String, fmt::Error> {
    let mut registry = Registry::with_prefix("cactusyoke");
    registry.register_collector(Box::new(self.scrape()));
    let mut text = String::new();
    encoding::text::encode(&mut text, &registry)?;
    Ok(text)
  }

  fn scrape(&self) -> Scrape {
    let config = *self.config.lock().unwrap_or_else(PoisonError::into_inner);
    let load = |value: &AtomicU64| value.load(Relaxed);
    Scrape {
      calls: self
        .calls
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone(),
      tenants: self
        .tenants
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone(),
      limit: load(&self.limit),
      in_flight: load(&self.in_flight),
      queued: load(&self.queued),
      control_sent: load(&self.control_sent),
      control_received: load(&self.control_received),
      cap_exchanges: [load(&self.cap_exchanges), load(&self.cap_failures)],
      cap_tokens: load(&self.cap_tokens),
      config: config.map(|(revision, since)| {
        let age = self.clock.now().saturating_duration_since(since);
        (revision, age)
      }),
      platform: array::from_fn(|kind| array::from_fn(|result| load(&self.platform[kind][result]))),
      members: array::from_fn(|status| load(&self.members[status])),
      memory: *self.memory.lock().unwrap_or_else(PoisonError::into_inner),
    }
  }
}
