use {
  crate::{
    ConfigUpdate, ConfigurationError, OfferResult, PlatformStatus, ReadOutcome, Reader, Replica,
    Snapshot, Store,
  },
  arc_swap::ArcSwap,
  cactusyoke_model::{Clock, Config, ConfigDelta, Revision},
  ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort},
  std::sync::Arc,
  tokio::{
    sync::{Notify, watch},
    task::AbortHandle,
  },
  tracing::{info, warn},
};

#[derive(Debug)]
pub(crate) enum WatcherMessage {
  SetWatching(bool),
  OfferDelta(ConfigDelta, RpcReplyPort<OfferResult>),
  OfferSnapshot(Snapshot, RpcReplyPort<OfferResult>),
  UpdateSince(Revision, RpcReplyPort<ConfigUpdate>),
  /// The reader has finished a read of the head.
  ReadFinished(Result<ReadOutcome, ConfigurationError>),
}

#[derive(Debug)]
pub(crate) struct WatcherActor;

/// State shared by the actor and its handles.
#[derive(Clone, Debug)]
pub(crate) struct Shared {
  pub(crate) config: Arc<ArcSwap<Config>>,
  pub(crate) status: Arc<ArcSwap<PlatformStatus>>,
  pub(crate) adopted: watch::Sender<Revision>,
  pub(crate) refresh: Arc<Notify>,
}

#[derive(Debug)]
pub(crate) struct Arguments {
  pub(crate) store: Arc<dyn Store>,
  pub(crate) clock: Arc<dyn Clock>,
  pub(crate) shared: Shared,
}

#[derive(Debug)]
pub(crate) struct State {
  clock: Arc<dyn Clock>,
  shared: Shared,
  replica: Replica,
  head_version: u64,
  watching: watch::Sender<bool>,
  reader_task: AbortHandle,
}

impl Actor for WatcherActor {
  type Msg = WatcherMessage;
  type State = State;
  type Arguments = Arguments;

  async fn pre_start(
    &self,
    myself: ActorRef<Self::Msg>,
    args: Arguments,
  ) -> Result<State, ActorProcessingErr> {
    let Arguments {
      store,
      clock,
      shared,
    } = args;
    let (watching, receiver) = watch::channel(false);
    let reader = Reader {
      store,
      config: Arc::clone(&shared.config),
      watching: receiver,
      refresh: Arc::clone(&shared.refresh),
      watcher: myself,
    };
    Ok(State {
      clock,
      shared,
      replica: Replica::default(),
      head_version: 0,
      watching,
      reader_task: tokio::spawn(reader.run()).abort_handle(),
    })
  }

  async fn post_stop(
    &self,
    _myself: ActorRef<Self::Msg>,
    state: &mut State,
  ) -> Result<(), ActorProcessingErr> {
    state.reader_task.abort();
    Ok(())
  }

  async fn handle(
    &self,
    _myself: ActorRef<Self::Msg>,
    message: WatcherMessage,
    state: &mut State,
  ) -> Result<(), ActorProcessingErr> {
    match message {
      WatcherMessage::SetWatching(watching) => {
        state.watching.send_replace(watching);
        state.update_status(|status| status.watching = watching);
      }
      // Sending a reply fails if the caller no longer waits for it.
      WatcherMessage::OfferDelta(delta, port) => {
        let _ = port.send(state.offer(ConfigUpdate::Delta(delta), "peer"));
      }
      WatcherMessage::OfferSnapshot(snapshot, port) => {
        let _ = port.send(state.offer(ConfigUpdate::Full(snapshot), "peer"));
      }
      WatcherMessage::UpdateSince(revision, port) => {
        let _ = port.send(state.replica.since(revision));
      }
      WatcherMessage::ReadFinished(result) => state.finish_read(result),
    }
    Ok(())
  }
}

impl State {
  fn offer(&mut self, update: ConfigUpdate, source: &str) -> OfferResult {
    let result = match update {
      ConfigUpdate::Delta(delta) => self.replica.apply(delta),
      ConfigUpdate::Full(snapshot) => self.replica.replace(snapshot),
    };
    match &result {
      OfferResult::Adopted(revision) => self.publish(*revision, source),
      OfferResult::Invalid(error) => warn!(source, %error, "configuration refused"),
      OfferResult::NotNewer(_) | OfferResult::Gap(_) => {}
    }
    result
  }

  fn publish(&self, revision: Revision, source: &str) {
    let config = Arc::clone(self.replica.config());
    let preset = config.in_force.as_ref().map_or("", |name| name.as_str());
    info!(%revision, preset, source, "configuration adopted");
    self.shared.config.store(config);
    self.shared.adopted.send_replace(revision);
  }

  fn finish_read(&mut self, result: Result<ReadOutcome, ConfigurationError>) {
    let outcome = match result {
      Ok(outcome) => outcome,
      Err(error) => {
        self.report_failure(error.to_string());
        return;
      }
    };
    let now = self.clock.now();
    self.update_status(|status| {
      status.error = None;
      status.last_success = Some(now);
    });
    match outcome {
      ReadOutcome::Cancelled | ReadOutcome::Unchanged => {}
      ReadOutcome::Current { version, update } => {
        self.head_version = self.head_version.max(version);
        self.update_status(|status| status.stale_revision = None);
        let offered = update.map(|update| self.offer(update, "platform"));
        if let Some(OfferResult::Invalid(error)) = offered {
          self.update_status(|status| status.error = Some(error.to_string()));
        }
      }
      ReadOutcome::Stale { version, revision } => {
        self.head_version = self.head_version.max(version);
        self.report_stale(version, revision);
      }
    }
  }

  fn report_failure(&self, error: String) {
    // Logged once per outage, not once per attempt.
    if self.shared.status.load().error.is_none() {
      warn!(%error, "reading the configuration failed");
    }
    self.update_status(|status| status.error = Some(error));
  }

  fn report_stale(&self, version: u64, platform: Revision) {
    if self.shared.status.load().stale_revision != Some(platform) {
      let adopted = self.replica.revision();
      let newest = self.head_version;
      warn!(%platform, %adopted, version, newest, "platform serves a lower revision; ignored");
    }
    self.update_status(|status| status.stale_revision = Some(platform));
  }

  fn update_status(&self, change: impl FnOnce(&mut PlatformStatus)) {
    let mut status = (**self.shared.status.load()).clone();
    change(&mut status);
    self.shared.status.store(Arc::new(status));
  }
}
