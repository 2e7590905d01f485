//! A running node: listeners, control loops and graceful shutdown.

use {
  crate::{
    Core, Settings, StartError,
    admission::Admission,
    core::InFlight,
    crashes::Crashes,
    edges::Edges,
    gateway::{Egress, Gateway},
    keyed::Keyed,
    meters::Meters,
    operator_node::OperatorNode,
    roster_keeper::RosterKeeper,
    rosters::Rosters,
    spread::{Spread, SpreadActor},
    upstream_follower,
  },
  cactusyoke_callers::Limits,
  cactusyoke_decisions::{keys::Member, load::Ledgers},
  cactusyoke_model::{Clock, Incarnation, NodeId},
  cactusyoke_nodes::{
    Hop, Incoming, IncomingCall, Links, LinksConfig, Membership, MembershipConfig, MembershipHandle,
  },
  cactusyoke_operators::{ListenerLimits, Metrics},
  cactusyoke_platform::{
    Configuration, HttpStore, ObservedStore, RetryLimits, Store, StoreLimits, Watcher,
  },
  cactusyoke_upstreams::{Upstream, UpstreamConfig, Views, announce, egress},
  ractor::{Actor, ActorCell},
  std::{
    collections::BTreeSet,
    fmt::{self, Display, Formatter},
    net::SocketAddr,
    sync::{
      Arc, Mutex,
      atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, SystemTime},
  },
  tokio::{net::TcpListener, sync::mpsc, task::JoinHandle, time::timeout},
  tokio_util::sync::CancellationToken,
};

/// Calls and control messages that wait for a task of their own.
const INCOMING: usize = 1024;

/// Control traffic of the membership, bytes a second; a quarter of the budget of a node.
const MEMBERSHIP_BYTES: u32 = 1024;

/// A running node.
#[derive(Debug)]
pub struct Server {
  core: Arc<Core>,
  loops: Vec<ActorCell>,
  work: Vec<JoinHandle<()>>,
  egress: JoinHandle<()>,
  refuse_work: CancellationToken,
  stop: CancellationToken,
}

/// Work that was cut off when the bound on a graceful shutdown was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unfinished {
  /// Calls in flight at the end.
  pub calls: usize,
  /// Bound.
  pub limit: Duration,
}

impl Display for Unfinished {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    write!(
      f,
      "{} calls were still in flight after the shutdown limit of {} and were cut off: raise `shutdown_limit`",
      self.calls,
      humantime::format_duration(self.limit)
    )
  }
}

impl std::error::Error for Unfinished {}

struct Listeners {
  node: TcpListener,
  callers: TcpListener,
  egress: TcpListener,
  operators: TcpListener,
}

impl Listeners {
  async fn bind(settings: &Settings) -> Result<Self, StartError> {
    Ok(Self {
      node: bind("node", settings.node.0).await?,
      callers: bind("callers", settings.callers).await?,
      egress: bind("egress", settings.egress).await?,
      operators: bind("operators", settings.operators).await?,
    })
  }
}

async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
  TcpListener::bind(address)
    .await
    .map_err(|error| StartError::Bind {
      field,
      address,
      error,
    })
}

impl Server {
  /// Opens the listeners and starts the control loops.
  pub async fn start(settings: Settings, clock: Arc<dyn Clock>) -> Result<Self, StartError> {
    let listeners = Listeners::bind(&settings).await?;
    let stop = CancellationToken::new();
    let refuse_work = stop.child_token();
    let metrics = Arc::new(Metrics::new(Arc::clone(&clock)));
    let counted = Arc::clone(&metrics);
    let store = HttpStore::new(settings.platform, StoreLimits::default());
    let store = ObservedStore::new(Arc::new(store), move |kind, result| {
      counted.platform_call(kind, result);
    });
    let parts = Parts {
      settings,
      clock,
      store: Arc::new(store),
      metrics,
    };
    let core = build(parts, &listeners, &stop).await?;
    let loops = start_loops(&core).await?;
    let limits = Limits {
      connections: core.settings.connections as usize,
      body: core.settings.body,
      ..Limits::default()
    };
    let gateway = Arc::new(Gateway(Arc::clone(&core)));
    let work = vec![
      tokio::spawn(cactusyoke_callers::serve(
        listeners.callers,
        gateway,
        limits,
        refuse_work.clone(),
      )),
      spawn_links(&core, listeners.node, refuse_work.clone()),
    ];
    let egress = spawn_egress(&core, listeners.egress, limits, stop.clone());
    spawn_operators(&core, listeners.operators, stop.clone());
    tracing::info!(
      event = "started",
      node = %core.settings.node,
      data_centre = %core.settings.centre,
      callers = %core.settings.callers,
      operators = %core.settings.operators
    );
    Ok(Self {
      core,
      loops,
      work,
      egress,
      refuse_work,
      stop,
    })
  }

  /// Refuses new work, finishes what is in flight and stops; cuts off what takes longer than
  /// `limit`.
  pub async fn shut_down(self, limit: Duration) -> Result<(), Unfinished> {
    tracing::info!(event = "draining", calls = self.core.in_flight.count());
    self.core.set_draining(true);
    self.refuse_work.cancel();
    let finish = async {
      for task in self.work {
        // A task that panicked has nothing in flight any more.
        drop(task.await);
      }
      self.core.in_flight.wait_empty().await;
    };
    let finished = timeout(limit, finish).await;
    let calls = self.core.in_flight.count();
    self.stop.cancel();
    // The egress listener has no calls left once the calls of the upstream have ended.
    drop(timeout(Duration::from_secs(1), self.egress).await);
    self.core.members.leave().await;
    self.core.watcher.stop();
    stop_loops(&self.loops);
    if finished.is_err() {
      tracing::error!(event = "shutdown_limit_reached", calls);
      return Err(Unfinished { calls, limit });
    }
    tracing::info!(event = "stopped");
    Ok(())
  }

  /// Stops at once, as a failed process would.
  pub fn abort(self) {
    self.refuse_work.cancel();
    self.stop.cancel();
    for task in self.work {
      task.abort();
    }
    self.egress.abort();
    self.core.members.abort();
    self.core.watcher.stop();
    stop_loops(&self.loops);
  }
}

/// What a node is built from.
struct Parts {
  settings: Settings,
  clock: Arc<dyn Clock>,
  store: Arc<dyn Store>,
  metrics: Arc<Metrics>,
}

async fn build(
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
  let (watcher, _task) = Watcher::start(Arc::clone(&store), Arc::clone(&clock))
    .await
    .map_err(|error| actor_error("watcher", &error))?;
  let members = start_membership(&settings, incarnation, &clock, listeners).await?;
  let links_config = LinksConfig::new(settings.node, incarnation, settings.centre.clone());
  let links = Links::new(links_config);
  let views = start_announcements(&clock, settings.announce, stop.clone()).await?;
  let crashes = Arc::new(Crashes::new(Arc::clone(&clock)));
  let reports = Arc::clone(&crashes);
  let upstream_config = UpstreamConfig {
    crashed: Arc::new(move |crash| reports.report(&crash)),
    clock: Arc::clone(&clock),
    ..UpstreamConfig::new(views.clone())
  };
  let admission = Admission::new(upstream_follower::idle_gate(&settings), Arc::clone(&clock));
  let member = Member {
    node: settings.node,
    incarnation,
  };
  let rosters = Rosters::new(
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
    configuration: Configuration::new(store, Arc::clone(&clock), RetryLimits::default()),
    watcher,
    members,
    links,
    views,
    upstream: Upstream::new(upstream_config),
    admission,
    edges: Edges::new(clock.now()),
    keyed: Keyed::new(rosters, settings.keys),
    spread: Spread::default(),
    meters: Meters::new(metrics),
    draining: AtomicBool::new(false),
    next_span: AtomicU64::new(rand::random()),
    in_flight: InFlight::default(),
    ledgers: Mutex::new(Ledgers::new()),
    crashes,
    clock,
    settings,
  }))
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
    bytes_per_second: MEMBERSHIP_BYTES,
  };
  Membership::start(config)
    .await
    .map_err(|error| actor_error("membership", &error))
}

async fn start_announcements(
  clock: &Arc<dyn Clock>,
  address: SocketAddr,
  stop: CancellationToken,
) -> Result<Views, StartError> {
  let listener = bind("announce", address).await?;
  let config = announce::AnnounceConfig {
    clock: Arc::clone(clock),
    ..Default::default()
  };
  announce::start(listener, config, stop)
    .await
    .map_err(|error| actor_error("announce", &error))
}

async fn start_loops(core: &Arc<Core>) -> Result<Vec<ActorCell>, StartError> {
  let (spread, _task) = Actor::spawn(None, SpreadActor, Arc::clone(core))
    .await
    .map_err(|error| actor_error("spread", &error))?;
  core.spread.set(spread.clone());
  let (keeper, _task) = Actor::spawn(None, RosterKeeper, Arc::clone(core))
    .await
    .map_err(|error| actor_error("rosters", &error))?;
  upstream_follower::start(core);
  follow_revisions(core);
  Ok(vec![spread.get_cell(), keeper.get_cell()])
}

fn stop_loops(loops: &[ActorCell]) {
  for actor in loops {
    actor.stop(None);
  }
}

/// Passes adopted and reported revisions on to the spreading actor.
fn follow_revisions(core: &Arc<Core>) {
  let (follower, mut adopted) = (Arc::clone(core), core.watcher.adopted());
  tokio::spawn(async move {
    while adopted.changed().await.is_ok() {
      let revision = *adopted.borrow_and_update();
      follower.adopted(revision);
    }
  });
  let (follower, mut newer) = (Arc::clone(core), core.members.newer_revisions());
  tokio::spawn(async move {
    while let Some((node, revision)) = newer.recv().await {
      follower.spread.newer(node, revision);
    }
  });
}

fn spawn_links(
  core: &Arc<Core>,
  listener: TcpListener,
  shutdown: CancellationToken,
) -> JoinHandle<()> {
  let (sender, mut receiver) = mpsc::channel(INCOMING);
  let serving = Arc::clone(core);
  tokio::spawn(async move {
    while let Some(incoming) = receiver.recv().await {
      let core = Arc::clone(&serving);
      match incoming {
        Incoming::Call(call) => drop(tokio::spawn(core.answer_call(call))),
        Incoming::Ask(ask) => drop(tokio::spawn(core.answer_ask(ask))),
      }
    }
  });
  tokio::spawn(core.links.clone().listen(listener, sender, shutdown))
}

fn spawn_egress(
  core: &Arc<Core>,
  listener: TcpListener,
  limits: Limits,
  stop: CancellationToken,
) -> JoinHandle<()> {
  let handler = Arc::new(Egress(Arc::clone(core)));
  tokio::spawn(async move {
    if let Err(error) = egress::serve(listener, handler, limits, stop).await {
      tracing::error!(event = "egress_failed", %error);
    }
  })
}

fn spawn_operators(core: &Arc<Core>, listener: TcpListener, stop: CancellationToken) {
  let node = Arc::new(OperatorNode(Arc::clone(core)));
  let metrics = Arc::clone(&core.meters.metrics);
  let token = core.settings.token.clone();
  let limits = ListenerLimits::default();
  tokio::spawn(cactusyoke_operators::serve(
    listener, node, metrics, token, limits, stop,
  ));
}

impl Core {
  /// Takes a call of another node to the upstream beside this one, or on to another instance.
  async fn answer_call(self: Arc<Self>, incoming: IncomingCall) {
    let IncomingCall {
      hop,
      call,
      reply,
      cancelled,
      ..
    } = incoming;
    let _entered = self.in_flight.enter();
    let answering = async {
      match hop {
        Hop::Instance => self.run_here(call).await,
        Hop::Relay => self.relay_here(call).await,
      }
    };
    let result = tokio::select! {
      result = answering => result,
      () = cancelled.cancelled() => return,
    };
    match result {
      // The sender sees a body that was cut off, and counts it.
      Ok(answer) => drop(reply.answer(answer).await),
      Err(failure) => reply.refuse(failure),
    }
  }

  /// Refuses or takes new work, and tells the other nodes.
  pub(crate) fn set_draining(&self, draining: bool) {
    self.draining.store(draining, Ordering::SeqCst);
    upstream_follower::publish(self);
  }
}
