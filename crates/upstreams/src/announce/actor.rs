use {
  crate::{
    Hints, Phase, UpstreamView, ViewHandle,
    announce::{AnnounceConfig, AnnounceMessage, Check, Lifecycle, Notice, probe},
  },
  ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort},
  std::{
    mem,
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

/// Interval at which renewals and cold starts are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time after a failed check of an announced upstream until the next one; a check occupies a slot
/// of the upstream for several milliseconds.
const CHECK_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Actor that owns the lifecycle of the upstream.
#[derive(Debug)]
pub(crate) struct AnnounceActor;

/// Start arguments of the actor.
#[derive(Debug)]
pub(crate) struct AnnounceArguments {
  pub(crate) config: AnnounceConfig,
  pub(crate) listener: SocketAddr,
  pub(crate) view_handle: ViewHandle,
}

#[derive(Debug)]
pub(crate) struct AnnounceState {
  config: AnnounceConfig,
  listener: SocketAddr,
  view_handle: ViewHandle,
  lifecycle: Lifecycle,
  hints: Hints,
  started: Instant,
  warned: bool,
  check_running: bool,
  /// Time of the last failed check.
  last_failure: Option<Instant>,
  poll_running: bool,
  last_poll: Option<Instant>,
}

impl Actor for AnnounceActor {
  type Msg = AnnounceMessage;
  type State = AnnounceState;
  type Arguments = AnnounceArguments;

  async fn pre_start(
    &self,
    myself: ActorRef<AnnounceMessage>,
    args: AnnounceArguments,
  ) -> Result<AnnounceState, ActorProcessingErr> {
    myself.send_interval(TICK_INTERVAL, || AnnounceMessage::Tick);
    Ok(AnnounceState {
      started: args.config.clock.now(),
      config: args.config,
      listener: args.listener,
      view_handle: args.view_handle,
      lifecycle: Lifecycle::default(),
      hints: Hints::default(),
      warned: false,
      check_running: false,
      last_failure: None,
      poll_running: false,
      last_poll: None,
    })
  }

  async fn handle(
    &self,
    myself: ActorRef<AnnounceMessage>,
    message: AnnounceMessage,
    state: &mut AnnounceState,
  ) -> Result<(), ActorProcessingErr> {
    // A failed check is retried at a later tick, not at once.
    let check_now = !matches!(message, AnnounceMessage::CheckFailed);
    state.apply(message);
    if check_now {
      state.start_check(&myself);
    }
    state.poll_hints(&myself);
    Ok(())
  }
}

impl AnnounceState {
  fn apply(&mut self, message: AnnounceMessage) {
    let now = self.config.clock.now();
    let mut reply = None;
    let lifecycle = mem::take(&mut self.lifecycle);
    self.lifecycle = match message {
      AnnounceMessage::Notice(notice, port) => {
        reply = Some(port);
        apply_notice(lifecycle, notice, now)
      }
      AnnounceMessage::CheckPassed(address) => {
        self.check_running = false;
        lifecycle.check_passed(address, now)
      }
      AnnounceMessage::Leaving(announcement) => lifecycle.leaving(&announcement, now),
      AnnounceMessage::Refused(address) => {
        self.check_running = false;
        lifecycle.refused(address, now)
      }
      AnnounceMessage::CheckFailed => {
        self.check_running = false;
        self.last_failure = Some(now);
        lifecycle
      }
      AnnounceMessage::Hints(address, hints) => {
        self.poll_running = false;
        let current = lifecycle.announcement().map(|known| known.address);
        if let Some(hints) = hints.filter(|_hints| current == Some(address)) {
          self.hints = hints;
        }
        lifecycle
      }
      AnnounceMessage::Tick => lifecycle.tick(self.config.renewal_timeout, now),
    };
    self.publish();
    if let Some(port) = reply {
      self.reply(port);
    }
    self.warn_if_unannounced(now);
  }

  fn reply(&self, port: RpcReplyPort<Phase>) {
    if let Err(error) = port.send(self.lifecycle.phase()) {
      tracing::debug!(%error, "request to the announcement listener ended before its answer");
    }
  }

  fn publish(&mut self) {
    let phase = self.lifecycle.phase();
    if phase == Phase::Gone {
      self.hints = Hints::default();
    }
    let view = UpstreamView {
      phase,
      since: self.lifecycle.since().unwrap_or(self.started),
      announcement: self.lifecycle.announcement().cloned(),
      hints: self.hints,
    };
    let before = self.view_handle.load();
    if **before == view {
      return;
    }
    if before.phase != phase {
      let known = view.announcement.as_ref();
      tracing::info!(
        from = %before.phase,
        to = %phase,
        service = known.map(|known| known.service.as_str()),
        address = known.map(|known| known.address.to_string()),
        "upstream phase changed"
      );
    }
    self.view_handle.publish(view);
  }

  fn warn_if_unannounced(&mut self, now: Instant) {
    let waited = now.saturating_duration_since(self.started);
    if self.warned || self.lifecycle != Lifecycle::Absent || waited < self.config.warn_after {
      return;
    }
    self.warned = true;
    tracing::warn!(
      listener = %self.listener,
      waited_s = waited.as_secs(),
      "no upstream has announced itself: send `PUT /announce` to the listener every second"
    );
  }

  /// Starts the check of an announced upstream, unless one is running or has just failed.
  fn start_check(&mut self, myself: &ActorRef<AnnounceMessage>) {
    let Lifecycle::Announced(life) = &self.lifecycle else {
      return;
    };
    let now = self.config.clock.now();
    let paused = self
      .last_failure
      .is_some_and(|failed| now.saturating_duration_since(failed) < CHECK_RETRY_DELAY);
    if paused || mem::replace(&mut self.check_running, true) {
      return;
    }
    let announcement = life.announcement.clone();
    let check = self.config.check.clone();
    let myself = myself.clone();
    tokio::spawn(async move {
      let outcome = match &check {
        Check::Connect => probe::check_connection(announcement.address).await,
        Check::Health(check) => probe::check_health(&announcement, check).await,
      };
      send(&myself, outcome);
    });
  }

  fn poll_hints(&mut self, myself: &ActorRef<AnnounceMessage>) {
    let now = self.config.clock.now();
    let reachable = match self.lifecycle.phase() {
      Phase::Warming | Phase::Serving | Phase::Draining => true,
      Phase::Announced | Phase::Gone => false,
    };
    let Some(interval) = self.config.hint_interval else {
      return;
    };
    let due = self
      .last_poll
      .is_none_or(|polled| now.saturating_duration_since(polled) >= interval);
    let Some(known) = self
      .lifecycle
      .announcement()
      .filter(|_known| reachable && due && !self.poll_running)
    else {
      return;
    };
    self.poll_running = true;
    self.last_poll = Some(now);
    let address = known.address;
    let clock = self.config.clock.clone();
    let myself = myself.clone();
    tokio::spawn(async move {
      let hints = probe::fetch_hints(address, &*clock).await;
      send(&myself, AnnounceMessage::Hints(address, hints));
    });
  }
}

fn apply_notice(lifecycle: Lifecycle, notice: Notice, now: Instant) -> Lifecycle {
  match notice {
    Notice::Announce(announcement) => lifecycle.announce(announcement, now),
    Notice::AnnounceDraining(announcement) => lifecycle.announce_draining(announcement, now),
    Notice::Drain => lifecycle.drain(now),
    Notice::Leave(None) => lifecycle.leave(now),
    Notice::Leave(instance) => {
      let known = lifecycle.announcement();
      let leaves = known.is_some_and(|known| known.instance == instance);
      if leaves {
        lifecycle.leave(now)
      } else {
        lifecycle
      }
    }
  }
}

fn send(actor: &ActorRef<AnnounceMessage>, message: AnnounceMessage) {
  if let Err(error) = actor.cast(message) {
    tracing::debug!(%error, "announce actor has stopped");
  }
}
