use {
  cactusyoke_configuration::{
    AuditFilter, ChangeRequest, Configuration, ConfigurationError, Record, RecordedEdit,
    RequestedEdit, RetryLimits, Store, Watcher,
  },
  cactusyoke_model::{ConfigDelta, PresetName, Revision, SystemClock},
  cactusyoke_operators::{
    AcceptedChange, Attribution, AuditQuery, AuditRecord, ConfigView, ConflictView, Node,
    NodeError, NodeFuture, NodeStatus, PlatformView, PresetSummary, PresetView, PutRequest,
    QuarantineView, StatusView, Timestamp, UseRequest,
  },
  std::{
    sync::{
      Arc,
      atomic::{AtomicBool, Ordering::Relaxed},
    },
    time::Duration,
  },
};

/// Node that serves operators only, without a request path.
#[derive(Debug)]
pub struct TestNode {
  configuration: Configuration,
  watcher: Watcher,
  draining: AtomicBool,
}

impl TestNode {
  pub async fn start(store: Arc<dyn Store>) -> Self {
    let clock = Arc::new(SystemClock);
    let limits = RetryLimits {
      max_attempts: 3,
      time_limit: Duration::from_secs(2),
      initial_backoff: Duration::from_millis(5),
      max_backoff: Duration::from_millis(50),
    };
    let (watcher, _) = Watcher::start(Arc::clone(&store), clock.clone())
      .await
      .unwrap();
    watcher.set_watching(true);
    Self {
      configuration: Configuration::new(store, clock, limits),
      watcher,
      draining: AtomicBool::new(false),
    }
  }

  async fn change(&self, request: ChangeRequest) -> Result<AcceptedChange, NodeError> {
    let adopted = self.watcher.config().load().revision;
    let record = self.configuration.change(&request, adopted).await;
    let record = record.map_err(node_error)?;
    let change = request.accepted_change(&record);
    let changes = vec![change];
    self.watcher.offer_delta(ConfigDelta { changes }).await;
    Ok(AcceptedChange {
      id: record.id,
      revision: record.revision,
    })
  }
}

fn node_error(error: ConfigurationError) -> NodeError {
  let message = error.to_string();
  match error {
    ConfigurationError::Conflict { other, revision } => {
      NodeError::Conflict(Box::new(ConflictView {
        id: other.id,
        revision: other.revision,
        current: revision,
        summary: other.edit.to_string(),
        operator: other.operator,
        time: Timestamp(other.time),
        reason: other.reason,
      }))
    }
    ConfigurationError::NoPreset(name) => NodeError::NoPreset { name },
    ConfigurationError::Unconfirmed { id, based_on } => NodeError::Unconfirmed { id, based_on },
    ConfigurationError::Unavailable(_) | ConfigurationError::StalePlatform { .. } => {
      NodeError::Unavailable { message }
    }
    _ => NodeError::Invalid { message },
  }
}

fn audit_record(record: Record) -> AuditRecord {
  let preset = record.edit.preset().clone();
  let (action, before, after) = match record.edit {
    RecordedEdit::Use { before, after } => ("use", before.map(String::from), after.to_string()),
    RecordedEdit::Put { before, after, .. } => ("put", before.map(String::from), after.to_string()),
  };
  AuditRecord {
    revision: record.revision,
    id: record.id,
    operator: record.operator,
    time: Timestamp(record.time),
    reason: record.reason,
    action: action.into(),
    preset,
    before,
    after,
  }
}

impl Node for TestNode {
  fn status(&self) -> NodeFuture<'_, StatusView> {
    Box::pin(async {
      let config = self.watcher.config().load_full();
      let platform = self.watcher.platform_status();
      Ok(StatusView {
        node: NodeStatus {
          node: "127.0.0.1:7000".parse().unwrap(),
          incarnation: cactusyoke_model::Incarnation(1),
          data_centre: "east".parse().unwrap(),
          revision: config.revision,
          in_force: config.in_force.clone(),
          draining: self.draining.load(Relaxed),
          uptime_seconds: 90,
        },
        upstream: None,
        platform: PlatformView {
          reachable: platform.error.is_none(),
          watching: platform.watching,
          last_success_seconds: None,
          lower_revision: platform.stale_revision,
          error: platform.error.clone(),
        },
        members: Vec::new(),
      })
    })
  }

  fn ready(&self) -> bool {
    !self.draining.load(Relaxed) && self.watcher.config().load().revision > Revision(0)
  }

  fn config(&self) -> NodeFuture<'_, ConfigView> {
    Box::pin(async {
      let config = self.watcher.config().load_full();
      let presets = config.presets.values().map(|preset| PresetSummary {
        name: preset.name.clone(),
        purpose: preset.raw().purpose.clone(),
        routes: preset.routes.len(),
      });
      Ok(ConfigView {
        revision: config.revision,
        in_force: config.in_force.clone(),
        presets: presets.collect(),
      })
    })
  }

  fn preset<'a>(&'a self, name: &'a PresetName) -> NodeFuture<'a, PresetView> {
    Box::pin(async move {
      let config = self.watcher.config().load_full();
      match config.presets.get(name) {
        Some(preset) => Ok(PresetView {
          revision: config.revision,
          preset: preset.raw().clone(),
        }),
        None => Err(NodeError::NoPreset { name: name.clone() }),
      }
    })
  }

  fn use_preset(&self, request: UseRequest) -> NodeFuture<'_, AcceptedChange> {
    Box::pin(self.change(ChangeRequest {
      id: request.id,
      operator: request.operator,
      reason: request.reason,
      based_on: request.based_on,
      edit: RequestedEdit::Use(request.preset),
    }))
  }

  fn put_preset(&self, request: PutRequest) -> NodeFuture<'_, AcceptedChange> {
    Box::pin(self.change(ChangeRequest {
      id: request.id,
      operator: request.operator,
      reason: request.reason,
      based_on: request.based_on,
      edit: RequestedEdit::Put(Box::new(request.preset)),
    }))
  }

  fn audit(&self, query: AuditQuery) -> NodeFuture<'_, Vec<AuditRecord>> {
    Box::pin(async move {
      let filter = AuditFilter {
        since: query.since.map(|time| time.0),
        until: query.until.map(|time| time.0),
        preset: query.preset,
        operator: query.operator,
        limit: query.limit.unwrap_or(1_000),
      };
      let records = self
        .configuration
        .audit(&filter)
        .await
        .map_err(node_error)?;
      Ok(records.into_iter().map(audit_record).collect())
    })
  }

  fn drain(&self, _attribution: Attribution) -> NodeFuture<'_, ()> {
    self.draining.store(true, Relaxed);
    Box::pin(async { Ok(()) })
  }

  fn undrain(&self, _attribution: Attribution) -> NodeFuture<'_, ()> {
    self.draining.store(false, Relaxed);
    Box::pin(async { Ok(()) })
  }

  fn quarantine(&self) -> NodeFuture<'_, Vec<QuarantineView>> {
    Box::pin(async {
      Ok(vec![QuarantineView {
        id: "f00d".into(),
        service: "orders".parse().unwrap(),
        crashes: 2,
        remaining_seconds: 60,
      }])
    })
  }

  fn release<'a>(&'a self, id: &'a str, _attribution: Attribution) -> NodeFuture<'a, ()> {
    Box::pin(async move {
      match id {
        "f00d" => Ok(()),
        _ => Err(NodeError::NoQuarantine { id: id.into() }),
      }
    })
  }
}
