//! Builds the state of a node and starts its control loops.

use {
  crate::{
    Core, Settings, StartError,
    admission::Admission,
    balancing::Balancing,
    core::InFlight,
    crashes::Crashes,
    directory_client::DirectoryClient,
    directory_follower,
    event_limiter::{EventLimiter, Verdict},
    keyed_runs::KeyedRuns,
    listeners::{Listeners, bind},
    load_control::LoadControl,
    member_source::MemberSource,
    meters::Meters,
    parents::Parents,
    roster_actor::RosterActor,
    roster_cache::RosterCache,
    spread::{Spread, SpreadActor},
    upstream_follower,
    usage_caps::UsageCaps,
  },
  cactusyoke_configuration::{Configuration, LeaseStore, RetryLimits, Store, Watcher},
  cactusyoke_decisions::{
    keys::Process,
    load::{Ledgers, RetryBudget},
    membership::{MemberRecord, MembersConfig},
  },
  cactusyoke_memory::{MemoryAccount, MemoryBudget, MemoryPressure},
  cactusyoke_model::{Clock, Incarnation, NodeId},
  cactusyoke_nodes::{Links, LinksConfig, Membership, MembershipConfig, MembershipHandle},
  cactusyoke_operators::Metrics,
  cactusyoke_upstreams::{Upstream, UpstreamConfig, ViewHandle, announce},
  ractor::{Actor, ActorCell},
  std::{
    collections::BTreeSet,
    fmt::Display,
    net::SocketAddr,
    sync::{
      Arc, Mutex,
      atomic::{AtomicBool, AtomicU64},
    },
    time::{Duration, SystemTime},
  },
  tokio_util::sync::CancellationToken,
};

/// Time between two heartbeats on a link, with the platform's interface.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Time without data after which a link is considered lost, with the platform's interface. Latency
/// targets there are one or two seconds, so a call that is resent after the default limit of three
/// seconds misses its target.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time limit for opening a link, with the platform's interface; connecting takes milliseconds
/// there.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Settings and services that a node is built from.
pub(crate) struct Parts {
  pub(crate) settings: Settings,
  pub(crate) clock: Arc<dyn Clock>,
  pub(crate) store: Arc<dyn LeaseStore>,
  pub(crate) metrics: Arc<Metrics>,
}

/// Builds the state of a node. No requests are served yet.
pub(crate) async fn build(
  parts: Parts,
  listeners: &Listeners,
  stop: &CancellationToken,
) -> Result<Arc<Core>, StartError> {
  let Parts {
    settings,
    clock,
    store,
    metrics,
  } = parts;
  let incarnation = incarnation(clock.wall());
  let leases = Arc::clone(&store);
  let store = store as Arc<dyn Store>;
  let (watcher, _task) = Watcher::start(Arc::clone(&store), Arc::clone(&clock))
    .await
    .map_err(|error| actor_error("watcher", &error))?;
  let members = if settings.interface.is_platform() {
    let record = MemberRecord::new(settings.node, incarnation, settings.centre.clone());
    MemberSource::Directory(DirectoryClient::start(
      record,
      leases,
      watcher.clone(),
      Arc::clone(&clock),
    ))
  } else {
    MemberSource::Gossip(start_membership(&settings, incarnation, &clock, listeners).await?)
  };
  let names = settings.interface.header_names();
  let memory = memory_account(&settings, &clock);
  let links = Links::new(links_config(&settings, incarnation, &memory));
  let announce_config =
    settings
      .interface
      .announce_config(&settings, watcher.config(), Arc::clone(&clock));
  let upstream_view = start_announcements(announce_config, settings.announce, stop.clone()).await?;
  let crashes = Arc::new(Crashes::new(Arc::clone(&clock)));
  let admission = Admission::new(
    upstream_follower::initial_gate(&settings),
    Arc::clone(&clock),
  );
  let balancing = Arc::new(Balancing::new(settings.balancing));
  let upstream_config = UpstreamConfig {
    clock: Arc::clone(&clock),
    header_names: names,
    ..upstream_config(&upstream_view, &crashes, &admission, &balancing)
  };
  let member = Process {
    node: settings.node,
    incarnation,
  };
  let rosters = RosterCache::new(
    member,
    settings.centre.clone(),
    settings.key_groups,
    settings.keys,
    Arc::clone(&store),
  );
  Ok(Arc::new(Core {
    incarnation,
    started: clock.now(),
    centre_names: settings.centre_names(),
    config: Arc::clone(watcher.config()),
    stored_config: Configuration::new(store, Arc::clone(&clock), RetryLimits::default()),
    watcher,
    members,
    links,
    memory,
    upstream_view,
    upstream: Upstream::new(upstream_config),
    admission,
    header_names: names,
    parents: Parents::default(),
    log_limiter: EventLimiter::default(),
    load_control: LoadControl::new(clock.now()),
    balancing,
    retry_budget: settings
      .retry_budget
      .map(|bounds| Mutex::new(RetryBudget::new(bounds))),
    keyed_runs: KeyedRuns::new(rosters, settings.keys),
    usage_caps: UsageCaps::new(settings.usage_caps, settings.node, incarnation, clock.now()),
    spread: Spread::default(),
    in_force: Mutex::default(),
    meters: Meters::new(metrics),
    draining: AtomicBool::new(false),
    ready: AtomicBool::new(true),
    next_span: AtomicU64::new(rand::random()),
    in_flight: InFlight::default(),
    cut_off: CancellationToken::new(),
    ledgers: Mutex::new(Ledgers::new()),
    crashes,
    clock,
    settings,
  }))
}

fn links_config(
  settings: &Settings,
  incarnation: Incarnation,
  memory: &Arc<MemoryAccount>,
) -> LinksConfig {
  let config = LinksConfig {
    memory: Arc::clone(memory),
    ..LinksConfig::new(settings.node, incarnation, settings.centre.clone())
  };
  if !settings.interface.is_platform() {
    return config;
  }
  LinksConfig {
    heartbeat_interval: HEARTBEAT_INTERVAL,
    receive_timeout: RECEIVE_TIMEOUT,
    connect_timeout: CONNECT_TIMEOUT,
    ..config
  }
}

/// Account of what callers and links hold, which logs what it closes and refuses at a limited rate.
fn memory_account(settings: &Settings, clock: &Arc<dyn Clock>) -> Arc<MemoryAccount> {
  let budget = settings.memory.map(MemoryBudget::of_process);
  let (clock, limiter) = (Arc::clone(clock), EventLimiter::default());
  let limit = budget.map_or(0, |budget| budget.limit);
  Arc::new(MemoryAccount::new(budget, move |pressure, held| {
    let Verdict::Write { omitted } = limiter.check(clock.now()) else {
      return;
    };
    match pressure {
      MemoryPressure::Closed(closed) => {
        tracing::warn!(event = "memory_closed", closed, held, limit, omitted);
      }
      MemoryPressure::Refused => tracing::warn!(event = "memory_refused", held, limit, omitted),
    }
  }))
}

/// Settings of the upstream client that reports to the parts of the node.
fn upstream_config(
  view: &ViewHandle,
  crashes: &Arc<Crashes>,
  admission: &Arc<Admission>,
  balancing: &Arc<Balancing>,
) -> UpstreamConfig {
  let (crashes, admission) = (Arc::clone(crashes), Arc::clone(admission));
  let balancing = Arc::clone(balancing);
  UpstreamConfig {
    on_lost_connection: Arc::new(move |lost| crashes.record_lost(&lost)),
    on_stated_rate: Arc::new(move |stated| admission.apply_stated_rate(stated)),
    on_stated_pace: Arc::new(move || balancing.record_paced()),
    ..UpstreamConfig::new(view.clone())
  }
}

fn incarnation(wall: SystemTime) -> Incarnation {
  let since = wall
    .duration_since(SystemTime::UNIX_EPOCH)
    .unwrap_or_default();
  Incarnation(since.as_millis() as u64)
}

fn actor_error(name: &'static str, cause: &impl Display) -> StartError {
  StartError::Actor {
    name,
    cause: cause.to_string(),
  }
}

async fn start_membership(
  settings: &Settings,
  incarnation: Incarnation,
  clock: &Arc<dyn Clock>,
  listeners: &Listeners,
) -> Result<MembershipHandle, StartError> {
  let contacts = settings
    .centres
    .values()
    .flat_map(|centre| centre.contacts.iter().copied())
    .filter(|contact| *contact != settings.node)
    .collect::<BTreeSet<NodeId>>();
  let config = MembershipConfig {
    node: settings.node,
    bind: listeners.node.local_addr().unwrap_or(settings.node.0),
    incarnation,
    data_centre: settings.centre.clone(),
    contacts: contacts.into_iter().collect(),
    clock: Arc::clone(clock),
    seed: rand::random(),
    bytes_per_second: MembersConfig::BYTES_PER_SECOND,
  };
  Membership::start(config)
    .await
    .map_err(|error| actor_error("membership", &error))
}

async fn start_announcements(
  config: announce::AnnounceConfig,
  address: SocketAddr,
  stop: CancellationToken,
) -> Result<ViewHandle, StartError> {
  let listener = bind("announce", address).await?;
  announce::start(listener, config, stop)
    .await
    .map_err(|error| actor_error("announce", &error))
}

/// Starts the control loops.
pub(crate) async fn start_loops(core: &Arc<Core>) -> Result<Vec<ActorCell>, StartError> {
  let (spread, _task) = Actor::spawn(None, SpreadActor, Arc::clone(core))
    .await
    .map_err(|error| actor_error("spread", &error))?;
  core.spread.set(spread.clone());
  let mut loops = vec![spread.get_cell()];
  // Without idempotency keys there are no witnesses, so no rosters either.
  if core.header_names.key.is_some() {
    let (roster_actor, _task) = Actor::spawn(None, RosterActor, Arc::clone(core))
      .await
      .map_err(|error| actor_error("rosters", &error))?;
    loops.push(roster_actor.get_cell());
  }
  upstream_follower::start(core);
  directory_follower::start(core);
  follow_revisions(core);
  Ok(loops)
}

/// Stops the control loops.
pub(crate) fn stop_loops(loops: &[ActorCell]) {
  for actor in loops {
    actor.stop(None);
  }
}

/// Puts adopted revisions in force, and passes revisions that other nodes report to the spread
/// actor.
fn follow_revisions(core: &Arc<Core>) {
  let (follower, mut adopted) = (Arc::clone(core), core.watcher.adopted());
  tokio::spawn(async move {
    while adopted.changed().await.is_ok() {
      let revision = *adopted.borrow_and_update();
      follower.put_in_force(revision);
    }
  });
  let Some(mut newer) = core.members.newer_revisions() else {
    return;
  };
  let follower = Arc::clone(core);
  tokio::spawn(async move {
    while let Some((node, revision)) = newer.recv().await {
      follower.spread.report_newer(node, revision);
    }
  });
}
