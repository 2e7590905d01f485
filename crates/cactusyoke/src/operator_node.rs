//! Handles the operators' requests to this node.

use {
  crate::{Core, control::ControlRequest, status},
  cactusyoke_configuration::{
    AuditFilter, ChangeRequest, ConfigurationError, OfferResult, Record, RecordedEdit,
    RequestedEdit,
  },
  cactusyoke_decisions::load::{Fingerprint, QUARANTINE_CRASHES},
  cactusyoke_model::{ConfigDelta, PresetName, Revision},
  cactusyoke_operators::{
    AcceptedChange, Attribution, AuditQuery, AuditRecord, ConfigView, ConflictView, Node,
    NodeError, NodeFuture, PresetSummary, PresetView, PutRequest, QuarantineView, StatusView,
    Timestamp, UseRequest,
  },
  std::sync::{Arc, atomic::Ordering},
};

/// Node as seen by operators.
#[derive(Clone, Debug)]
pub(crate) struct OperatorNode(pub(crate) Arc<Core>);

impl Node for OperatorNode {
  fn status(&self) -> NodeFuture<'_, StatusView> {
    Box::pin(async { Ok(status::collect(&self.0).await) })
  }

  fn ready(&self) -> bool {
    let running = self.0.ready.load(Ordering::SeqCst) && !self.0.is_draining();
    running && self.0.config.load().preset().is_some()
  }

  fn config(&self) -> NodeFuture<'_, ConfigView> {
    Box::pin(async {
      let config = self.0.config.load();
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
      let config = self.0.config.load();
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
    let UseRequest {
      id,
      preset,
      operator,
      reason,
      based_on,
    } = request;
    let edit = RequestedEdit::Use(preset);
    Box::pin(self.change(ChangeRequest {
      id,
      operator,
      reason,
      based_on,
      edit,
    }))
  }

  fn put_preset(&self, request: PutRequest) -> NodeFuture<'_, AcceptedChange> {
    let PutRequest {
      id,
      preset,
      operator,
      reason,
      based_on,
    } = request;
    let edit = RequestedEdit::Put(Box::new(preset));
    Box::pin(self.change(ChangeRequest {
      id,
      operator,
      reason,
      based_on,
      edit,
    }))
  }

  fn audit(&self, query: AuditQuery) -> NodeFuture<'_, Vec<AuditRecord>> {
    Box::pin(async move {
      let default = AuditFilter::default();
      let filter = AuditFilter {
        since: query.since.map(|time| time.0),
        until: query.until.map(|time| time.0),
        preset: query.preset,
        operator: query.operator,
        limit: query.limit.unwrap_or(default.limit),
      };
      match self.0.stored_config.audit(&filter).await {
        Ok(records) => Ok(records.into_iter().map(audit_record).collect()),
        Err(error) => Err(node_error(error)),
      }
    })
  }

  fn drain(&self, attribution: Attribution) -> NodeFuture<'_, ()> {
    Box::pin(async move {
      tracing::info!(
        event = "drain",
        operator = attribution.operator,
        reason = attribution.reason
      );
      self.0.set_draining(true);
      Ok(())
    })
  }

  fn undrain(&self, attribution: Attribution) -> NodeFuture<'_, ()> {
    Box::pin(async move {
      tracing::info!(
        event = "undrain",
        operator = attribution.operator,
        reason = attribution.reason
      );
      self.0.set_draining(false);
      Ok(())
    })
  }

  fn quarantine(&self) -> NodeFuture<'_, Vec<QuarantineView>> {
    Box::pin(async {
      let view = self.0.members.view();
      let Some(service) = view.own_record().service.clone() else {
        return Ok(Vec::new());
      };
      let notices = self.0.crashes.quarantine().list(self.0.clock.now());
      let entries = notices.into_iter().map(|notice| QuarantineView {
        id: notice.fingerprint.to_string(),
        service: service.clone(),
        crashes: QUARANTINE_CRASHES,
        remaining_seconds: notice.remaining.as_secs(),
      });
      Ok(entries.collect())
    })
  }

  fn release<'a>(&'a self, id: &'a str, attribution: Attribution) -> NodeFuture<'a, ()> {
    Box::pin(async move {
      let unknown = || NodeError::NoQuarantine { id: id.to_owned() };
      let fingerprint = u128::from_str_radix(id, 16)
        .map(Fingerprint)
        .map_err(|_error| unknown())?;
      let now = self.0.clock.now();
      if !self.0.crashes.quarantine().release(fingerprint, now) {
        return Err(unknown());
      }
      let release = ControlRequest::Release(fingerprint);
      drop(self.0.notify_service(&release));
      tracing::info!(event = "quarantine_released", %fingerprint, operator = attribution.operator, reason = attribution.reason);
      Ok(())
    })
  }
}

impl OperatorNode {
  async fn change(&self, request: ChangeRequest) -> Result<AcceptedChange, NodeError> {
    let adopted = self.0.config.load().revision;
    match self.0.stored_config.change(&request, adopted).await {
      Ok(record) => {
        tracing::info!(
          event = "change_accepted",
          revision = %record.revision,
          id = %record.id,
          operator = record.operator,
          change = %record.edit
        );
        // Offering the change puts it in force here and spreads it without waiting for a watch.
        // When this node lacks earlier changes, the offer is not adopted and the refresh fetches
        // them.
        let changes = vec![request.accepted_change(&record)];
        if !matches!(
          self.0.watcher.offer_delta(ConfigDelta { changes }).await,
          Some(OfferResult::Adopted(_))
        ) {
          self.0.watcher.refresh();
        }
        Ok(AcceptedChange {
          id: record.id,
          revision: record.revision,
        })
      }
      Err(error) => Err(node_error(error)),
    }
  }
}

fn node_error(error: ConfigurationError) -> NodeError {
  match error {
    ConfigurationError::Conflict { other, revision } => {
      NodeError::Conflict(Box::new(conflict_view(&other, revision)))
    }
    ConfigurationError::NoPreset(name) => NodeError::NoPreset { name },
    ConfigurationError::Unavailable(message) => NodeError::Unavailable { message },
    ConfigurationError::StalePlatform { .. } => NodeError::Unavailable {
      message: error.to_string(),
    },
    ConfigurationError::Unconfirmed { id, based_on } => NodeError::Unconfirmed { id, based_on },
    ConfigurationError::Corrupt { .. } | ConfigurationError::HashCollision(_) => {
      NodeError::Internal {
        message: error.to_string(),
      }
    }
    ConfigurationError::InvalidPreset(_)
    | ConfigurationError::InvalidOperator(_)
    | ConfigurationError::InvalidReason(_)
    | ConfigurationError::BaseTooOld { .. }
    | ConfigurationError::IdTaken(_)
    | ConfigurationError::NoRevision { .. }
    | ConfigurationError::TooLarge => NodeError::Invalid {
      message: error.to_string(),
    },
  }
}

fn conflict_view(other: &Record, current: Revision) -> ConflictView {
  ConflictView {
    id: other.id,
    revision: other.revision,
    current,
    operator: other.operator.clone(),
    time: Timestamp(other.time),
    reason: other.reason.clone(),
    summary: other.edit.to_string(),
  }
}

fn audit_record(record: Record) -> AuditRecord {
  let (action, before, after) = match &record.edit {
    RecordedEdit::Use { before, after } => (
      "use",
      before.as_ref().map(ToString::to_string),
      after.to_string(),
    ),
    RecordedEdit::Put { before, after, .. } => (
      "put",
      before.as_ref().map(ToString::to_string),
      after.to_string(),
    ),
  };
  AuditRecord {
    revision: record.revision,
    id: record.id,
    preset: record.edit.preset().clone(),
    time: Timestamp(record.time),
    operator: record.operator,
    reason: record.reason,
    action: action.to_owned(),
    before,
    after,
  }
}
