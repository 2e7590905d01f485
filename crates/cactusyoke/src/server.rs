//! A running node: its listeners, control loops and graceful shutdown.

use {
  crate::{
    Core, Settings, StartError,
    build::{Parts, build, start_loops, stop_loops},
    gateway::{Egress, Gateway},
    listeners::Listeners,
    operator_node::OperatorNode,
    upstream_follower, usage_caps,
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
    time::{sleep, timeout_at},
  },
  tokio_util::sync::CancellationToken,
};

/// Maximum number of received calls and control requests that wait to be handled.
const INCOMING_QUEUE: usize = 1024;

/// One part in this many of the time limit of a shutdown is left for ending the calls that are still
/// in flight and for leaving.
const LEAVING_SHARE: u32 = 7;

/// One part in this many of the time limit of a shutdown is not used. A busy machine notices the signal
/// late, and needs time to close connections after the last wait.
const MARGIN_SHARE: u32 = 12;

/// Time allowed for closing the listener for outgoing calls.
const EGRESS_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two checks whether the upstream still runs requests.
const RUNS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running node.
#[derive(Debug)]
pub struct Server {
  core: Arc<Core>,
  loops: Vec<ActorCell>,
  /// Tasks of the listeners for callers and for other nodes.
  tasks: Vec<JoinHandle<()>>,
  egress: JoinHandle<()>,
  close_egress: CancellationToken,
  close_listeners: CancellationToken,
  stop: CancellationToken,
}

/// Calls that were cut off when a graceful shutdown reached its time limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unfinished {
  /// Calls in flight when the limit was reached.
  pub calls: usize,
  /// Time limit of the shutdown.
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
    let close_listeners = stop.child_token();
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
    usage_caps::start(&core, stop.child_token());
    let limits = Limits {
      connections: core.settings.connections as usize,
      body: core.settings.body,
      names: core.header_names,
      ..Limits::default()
    };
    let gateway = Arc::new(Gateway(Arc::clone(&core)));
    let tasks = vec![
      tokio::spawn(cactusyoke_callers::serve(
        listeners.callers,
        gateway,
        limits,
        close_listeners.clone(),
      )),
      spawn_links(&core, listeners.node, close_listeners.clone()),
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
      tasks,
      egress,
      close_egress,
      close_listeners,
      stop,
    })
  }

  /// Refuses new work, waits for the calls in flight and stops. Shortly before `limit`, ends the calls
  /// that are still in flight; the outcome of those that were sent is unknown. No wait lasts beyond
  /// `limit`, whether or not the store answers.
  pub async fn shut_down(self, limit: Duration) -> Result<(), Unfinished> {
    tracing::info!(event = "draining", calls = self.core.in_flight.count());
    self.core.ready.store(false, Ordering::SeqCst);
    let started = Instant::now();
    sleep(self.core.settings.linger.min(limit / 2)).await;
    // Drained only after the linger time: the upstream may outlive this node, so it stays in use
    // for as long as callers are served.
    self.core.set_draining(true);
    self.core.admission.refuse_waiting();
    self
      .wait_for_runs(limit.saturating_sub(started.elapsed()))
      .await;
    self.close_listeners.cancel();
    let mut tasks = self.tasks;
    let egress = if self.core.settings.interface.is_platform() {
      // With the platform's interface, the egress listener also serves the callers of the instance.
      self.close_egress.cancel();
      tasks.push(self.egress);
      None
    } else {
      Some(self.egress)
    };
    let finish = async {
      for task in tasks {
        // A task that panicked has nothing in flight.
        drop(task.await);
      }
      self.core.in_flight.wait_empty().await;
    };
    tokio::pin!(finish);
    let cut_off = started + limit.saturating_sub(limit / LEAVING_SHARE);
    let end = started + limit.saturating_sub(limit / MARGIN_SHARE);
    let finished = timeout_at(cut_off.into(), &mut finish).await;
    let calls = self.core.in_flight.count();
    let ending = async {
      if finished.is_err() {
        tracing::error!(event = "shutdown_limit_reached", calls);
        self.core.cut_off.cancel();
        // A caller that does not read its answer delays this.
        drop(timeout_at(end.into(), &mut finish).await);
      }
      self.stop.cancel();
      if let Some(egress) = egress {
        // It has no calls left once the requests of the upstream have ended.
        let latest = end.min(Instant::now() + EGRESS_CLOSE_TIMEOUT);
        drop(timeout_at(latest.into(), egress).await);
      }
    };
    // The store may not answer, so that leaving does not wait for the last calls to end.
    let leaving = timeout_at(end.into(), self.core.members.leave());
    let (_ended, left) = tokio::join!(ending, leaving);
    if left.is_err() {
      tracing::info!(
        event = "not_left",
        reason = "the shutdown limit was reached"
      );
    }
    self.core.watcher.stop();
    stop_loops(&self.loops);
    if finished.is_err() {
      return Err(Unfinished { calls, limit });
    }
    tracing::info!(event = "stopped");
    Ok(())
  }

  /// Waits, for at most half of the remaining time, until the upstream has finished its running
  /// requests, so that their outgoing calls are still served. Without a linger time, does not wait.
  async fn wait_for_runs(&self, left: Duration) {
    if self.core.settings.linger.is_zero() {
      return;
    }
    let end = Instant::now() + left / 2;
    while self.core.admission.status().in_flight > 0 && Instant::now() < end {
      sleep(RUNS_POLL_INTERVAL).await;
    }
  }

  /// Stops at once without notice to other nodes, as a crash would.
  pub fn abort(self) {
    self.close_listeners.cancel();
    self.stop.cancel();
    for task in self.tasks {
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
  let (sender, mut receiver) = mpsc::channel(INCOMING_QUEUE);
  let serving = Arc::clone(core);
  tokio::spawn(async move {
    while let Some(incoming) = receiver.recv().await {
      let core = Arc::clone(&serving);
      match incoming {
        Incoming::Call(call) => drop(tokio::spawn(core.answer_call(call))),
        Incoming::Control(control) => drop(tokio::spawn(core.answer_control(control))),
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
  /// Runs a call of another node on the local upstream, or sends a call that another data centre
  /// relayed to this one on to an instance.
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
        Hop::Instance | Hop::FreeInstance => self.run_for(hop, call).await,
        Hop::Relay => self.run_relayed(call).await,
      }
    };
    let result = tokio::select! {
      result = answering => result,
      () = cancelled.cancelled() => return,
    };
    match result {
      // The calling node notices a truncated body and counts it.
      Ok(answer) => drop(reply.answer(answer).await),
      Err(failure) => reply.refuse(failure),
    }
  }

  /// Refuses or accepts new work from now on, and publishes that to the other nodes.
  pub(crate) fn set_draining(&self, draining: bool) {
    self.draining.store(draining, Ordering::SeqCst);
    upstream_follower::publish(self);
  }
}
