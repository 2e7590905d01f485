//! A running node: listeners, control loops and graceful shutdown.

use {
  crate::{
    Core, Settings, StartError,
    build::{Parts, build, start_loops, stop_loops},
    gateway::{Egress, Gateway},
    listeners::Listeners,
    operator_node::OperatorNode,
    upstream_follower,
  },
  cactusyoke_callers::Limits,
  cactusyoke_configuration::ObservedStore,
  cactusyoke_model::Clock,
  cactusyoke_nodes::{Hop, Incoming, IncomingCall},
  cactusyoke_operators::{Metrics, OperatorLimits},
  cactusyoke_platform::{KvStore, StoreLimits},
  cactusyoke_upstreams::egress,
  ractor::ActorCell,
  std::{
    fmt::{self, Display, Formatter},
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
  },
  tokio::{
    net::TcpListener,
    sync::mpsc,
    task::JoinHandle,
    time::{sleep, timeout},
  },
  tokio_util::sync::CancellationToken,
};

/// Calls and control messages that wait for a task of their own.
const INCOMING: usize = 1024;

/// Time between two looks at the requests that the upstream still runs.
const LINGER_STEP: Duration = Duration::from_millis(50);

/// A running node.
#[derive(Debug)]
pub struct Server {
  core: Arc<Core>,
  loops: Vec<ActorCell>,
  work: Vec<JoinHandle<()>>,
  egress: JoinHandle<()>,
  close_egress: CancellationToken,
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

impl Server {
  /// Opens the listeners and starts the control loops.
  pub async fn start(settings: Settings, clock: Arc<dyn Clock>) -> Result<Self, StartError> {
    let listeners = Listeners::bind(&settings).await?;
    let stop = CancellationToken::new();
    let refuse_work = stop.child_token();
    let metrics = Arc::new(Metrics::new(Arc::clone(&clock)));
    let counted = Arc::clone(&metrics);
    let store = KvStore::new(settings.platform, StoreLimits::default());
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
      names: core.names,
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
    let close_egress = stop.child_token();
    let egress = spawn_egress(&core, listeners.egress, limits, close_egress.clone());
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
      close_egress,
      refuse_work,
      stop,
    })
  }

  /// Refuses new work, finishes what is in flight and stops; cuts off what takes longer than
  /// `limit`.
  pub async fn shut_down(self, limit: Duration) -> Result<(), Unfinished> {
    tracing::info!(event = "draining", calls = self.core.in_flight.count());
    self.core.ready.store(false, Ordering::SeqCst);
    let started = Instant::now();
    sleep(self.core.settings.linger).await;
    // The upstream may go on without this node, so that it is used until the node goes.
    self.core.set_draining(true);
    self.core.admission.refuse_waiting();
    self
      .finish_runs(limit.saturating_sub(started.elapsed()))
      .await;
    self.refuse_work.cancel();
    let mut egress = self.egress;
    let platform = self.core.settings.interface.is_platform();
    if platform {
      // Its callers are those of the instance, too.
      self.close_egress.cancel();
    }
    let finish = async {
      for task in self.work {
        // A task that panicked has nothing in flight any more.
        drop(task.await);
      }
      self.core.in_flight.wait_empty().await;
      if platform {
        drop((&mut egress).await);
      }
    };
    let left = limit.saturating_sub(started.elapsed());
    let finished = timeout(left, finish).await;
    let calls = self.core.in_flight.count();
    self.stop.cancel();
    // The egress listener has no calls left once the calls of the upstream have ended.
    if !egress.is_finished() {
      drop(timeout(Duration::from_secs(1), egress).await);
    }
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

  /// Serves the calls of the upstream while it still runs requests, for half of the time left.
  async fn finish_runs(&self, left: Duration) {
    if self.core.settings.linger.is_zero() {
      return;
    }
    let end = Instant::now() + left / 2;
    while self.core.admission.status().in_flight > 0 && Instant::now() < end {
      sleep(LINGER_STEP).await;
    }
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
  let own = Some(core.settings.node.0.ip());
  tokio::spawn(async move {
    if let Err(error) = egress::serve(listener, handler, limits, own, stop).await {
      tracing::error!(event = "egress_failed", %error);
    }
  })
}

fn spawn_operators(core: &Arc<Core>, listener: TcpListener, stop: CancellationToken) {
  let node = Arc::new(OperatorNode(Arc::clone(core)));
  let metrics = Arc::clone(&core.meters.metrics);
  let token = core.settings.token.clone();
  let limits = OperatorLimits::default();
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
