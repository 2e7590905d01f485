//! State that the listeners and control loops of one node share.

use {
  crate::{
    Settings, admission::Admission, balancing::Balancing, crashes::Crashes,
    event_limiter::EventLimiter, keyed_runs::KeyedRuns, load_control::LoadControl,
    member_source::MemberSource, meters::Meters, parents::Parents, spread::Spread,
    usage_caps::UsageCaps,
  },
  arc_swap::ArcSwap,
  cactusyoke_configuration::{Configuration, Watcher},
  cactusyoke_decisions::load::{Candidate, Ledgers, RetryBudget},
  cactusyoke_http::HeaderNames,
  cactusyoke_memory::MemoryAccount,
  cactusyoke_model::{
    CallFailure, Clock, Config, DataCentre, Incarnation, NodeId, NotRunReason, Revision,
    ServiceName,
  },
  cactusyoke_nodes::Links,
  cactusyoke_upstreams::{Phase, Upstream, ViewHandle},
  std::{
    fmt,
    sync::{
      Arc, Mutex, MutexGuard, PoisonError,
      atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
  },
  tokio::sync::Notify,
  tokio_util::sync::CancellationToken,
};

/// Maximum time for which the body of an answer occupies a slot of the local upstream.
pub(crate) const MAX_BODY_TIME: Duration = Duration::from_hours(1);

/// Minimum distance of another data centre; zero stands for the node's own.
const MIN_DISTANCE: Duration = Duration::from_micros(1);

/// Distance of a data centre that the settings do not list.
const UNKNOWN_DISTANCE: Duration = Duration::from_millis(100);

/// State shared by the parts of one node.
pub struct Core {
  pub(crate) settings: Settings,
  pub(crate) incarnation: Incarnation,
  pub(crate) started: Instant,
  pub(crate) clock: Arc<dyn Clock>,
  pub(crate) centre_names: Vec<DataCentre>,
  pub(crate) config: Arc<ArcSwap<Config>>,
  /// Revision last applied to the counters and the gate, and announced to the other nodes.
  pub(crate) in_force: Mutex<Revision>,
  pub(crate) watcher: Watcher,
  pub(crate) stored_config: Configuration,
  pub(crate) members: MemberSource,
  pub(crate) header_names: &'static HeaderNames,
  pub(crate) parents: Parents,
  /// Limits the log lines about requests without an answer.
  pub(crate) log_limiter: EventLimiter,
  pub(crate) links: Links,
  /// Account of what callers and links hold.
  pub(crate) memory: Arc<MemoryAccount>,
  pub(crate) upstream_view: ViewHandle,
  pub(crate) upstream: Upstream,
  pub(crate) admission: Arc<Admission>,
  pub(crate) load_control: LoadControl,
  pub(crate) balancing: Arc<Balancing>,
  /// Budget for repeats of calls to the local upstream; `None` for no limit.
  pub(crate) retry_budget: Option<Mutex<RetryBudget>>,
  pub(crate) keyed_runs: KeyedRuns,
  pub(crate) usage_caps: UsageCaps,
  pub(crate) spread: Spread,
  pub(crate) meters: Meters,
  pub(crate) draining: AtomicBool,
  /// False once the node has been told to stop.
  pub(crate) ready: AtomicBool,
  pub(crate) next_span: AtomicU64,
  pub(crate) in_flight: InFlight,
  /// Cancelled when a shutdown ends the calls that are still in flight.
  pub(crate) cut_off: CancellationToken,
  pub(crate) ledgers: Mutex<Ledgers>,
  pub(crate) crashes: Arc<Crashes>,
}

impl fmt::Debug for Core {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.debug_struct("Core")
      .field("node", &self.settings.node)
      .finish_non_exhaustive()
  }
}

impl Core {
  pub(crate) fn ledgers(&self) -> MutexGuard<'_, Ledgers> {
    self.ledgers.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// True when the local upstream takes calls.
  pub(crate) fn upstream_serving(&self) -> bool {
    matches!(
      self.upstream_view.load().phase,
      Phase::Announced | Phase::Warming | Phase::Serving
    )
  }

  /// Known instances that serve `service`, the nearest first.
  pub(crate) fn candidates(&self, service: &ServiceName) -> Vec<Candidate> {
    let view = self.members.view();
    let mut candidates = view
      .serving(service)
      .iter()
      .map(|member| Candidate {
        node: member.record.node,
        since: member.since,
        slots: member.record.slots,
        distance: self.distance(&member.record.data_centre),
      })
      .collect::<Vec<Candidate>>();
    candidates.sort_by_key(|candidate| candidate.distance);
    candidates
  }

  /// One-way distance to a data centre; [`UNKNOWN_DISTANCE`] when the settings do not list it.
  fn distance(&self, centre: &DataCentre) -> Duration {
    if *centre == self.settings.centre {
      return Duration::ZERO;
    }
    let known = self.settings.centres.get(centre);
    let distance = known.map_or(UNKNOWN_DISTANCE, |centre| centre.distance);
    distance.max(MIN_DISTANCE)
  }

  /// Nodes of another data centre to try, in order.
  pub(crate) fn contacts(&self, centre: &DataCentre) -> Vec<NodeId> {
    let mut contacts = self.members.view().contacts(centre).to_vec();
    if let Some(known) = self.settings.centres.get(centre) {
      for contact in &known.contacts {
        if !contacts.contains(contact) {
          contacts.push(*contact);
        }
      }
    }
    contacts
  }

  /// Begins a root request; refused while the node drains, since it could be cut off at the shutdown
  /// limit. Calls of requests that are running are served on.
  pub(crate) fn enter(&self) -> Result<InFlightGuard<'_>, CallFailure> {
    let entered = self.in_flight.enter();
    // Checked after the count was raised, so that a shutdown that starts now waits for it.
    if self.is_draining() {
      return Err(CallFailure::not_run(NotRunReason::Draining));
    }
    Ok(entered)
  }
}

/// Requests and calls in flight through the node.
#[derive(Debug, Default)]
pub(crate) struct InFlight {
  count: AtomicUsize,
  empty: Notify,
}

impl InFlight {
  pub(crate) fn enter(&self) -> InFlightGuard<'_> {
    self.count.fetch_add(1, Ordering::SeqCst);
    InFlightGuard(self)
  }

  pub(crate) fn count(&self) -> usize {
    self.count.load(Ordering::SeqCst)
  }

  /// Waits until nothing is in flight.
  pub(crate) async fn wait_empty(&self) {
    loop {
      let empty = self.empty.notified();
      if self.count() == 0 {
        return;
      }
      empty.await;
    }
  }
}

/// Counts one request or call as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard<'a>(&'a InFlight);

impl Drop for InFlightGuard<'_> {
  fn drop(&mut self) {
    if self.0.count.fetch_sub(1, Ordering::SeqCst) == 1 {
      self.0.empty.notify_waiters();
    }
  }
}
