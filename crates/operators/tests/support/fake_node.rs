use {
  cactusyoke_model::{ChangeId, PresetName, RawPreset, Revision},
  cactusyoke_operators::{
    AcceptedChange, Attribution, AuditQuery, AuditRecord, ConfigView, ConflictView, Node,
    NodeError, NodeFuture, NodeStatus, PlatformView, PresetView, PutRequest, QuarantineView,
    StatusView, Timestamp, UseRequest,
  },
  std::{
    sync::atomic::{AtomicBool, AtomicU32, Ordering::Relaxed},
    time::{Duration, UNIX_EPOCH},
  },
  tokio::time::sleep,
};

/// Node that answers with constants and counts the changes requested.
#[derive(Debug, Default)]
pub struct FakeNode {
  changes: AtomicU32,
  draining: AtomicBool,
}

impl FakeNode {
  pub fn changes(&self) -> u32 {
    self.changes.load(Relaxed)
  }

  fn count_change<T: Send + 'static>(&self, result: Result<T, NodeError>) -> NodeFuture<'_, T> {
    self.changes.fetch_add(1, Relaxed);
    Box::pin(async { result })
  }
}

fn preset(name: &str) -> RawPreset {
  serde_json::from_value(serde_json::json!({ "name": name, "classes": ["a"], "routes": [] }))
    .unwrap()
}

fn conflict() -> NodeError {
  NodeError::Conflict(Box::new(ConflictView {
    id: ChangeId(2),
    revision: Revision(2),
    current: Revision(3),
    operator: "ben".into(),
    time: Timestamp(UNIX_EPOCH),
    reason: String::new(),
    summary: "put preset `quiet` in force".into(),
  }))
}

impl Node for FakeNode {
  fn status(&self) -> NodeFuture<'_, StatusView> {
    Box::pin(async {
      Ok(StatusView {
        node: NodeStatus {
          node: "127.0.0.1:7000".parse().unwrap(),
          incarnation: cactusyoke_model::Incarnation(1),
          data_centre: "east".parse().unwrap(),
          revision: Revision(1),
          in_force: None,
          draining: self.draining.load(Relaxed),
          uptime_seconds: 1,
        },
        upstream: None,
        platform: PlatformView {
          reachable: true,
          watching: false,
          last_success_seconds: None,
          lower_revision: None,
          error: None,
        },
        members: Vec::new(),
      })
    })
  }

  fn ready(&self) -> bool {
    !self.draining.load(Relaxed)
  }

  fn config(&self) -> NodeFuture<'_, ConfigView> {
    Box::pin(async {
      Ok(ConfigView {
        revision: Revision(1),
        in_force: None,
        presets: Vec::new(),
      })
    })
  }

  fn preset<'a>(&'a self, name: &'a PresetName) -> NodeFuture<'a, PresetView> {
    Box::pin(async move {
      match name.as_str() {
        "peak" => Ok(PresetView {
          revision: Revision(1),
          preset: preset("peak"),
        }),
        _ => Err(NodeError::NoPreset { name: name.clone() }),
      }
    })
  }

  fn use_preset(&self, request: UseRequest) -> NodeFuture<'_, AcceptedChange> {
    let accepted = Ok(AcceptedChange {
      id: request.id,
      revision: Revision(2),
    });
    match request.preset.as_str() {
      "conflict" => self.count_change(Err(conflict())),
      "down" => self.count_change(Err(NodeError::Unavailable {
        message: "down".into(),
      })),
      "doubt" => self.count_change(Err(NodeError::Unconfirmed {
        id: request.id,
        based_on: request.based_on,
      })),
      "slow" => Box::pin(async {
        sleep(Duration::from_millis(300)).await;
        accepted
      }),
      _ => self.count_change(accepted),
    }
  }

  fn put_preset(&self, request: PutRequest) -> NodeFuture<'_, AcceptedChange> {
    self.count_change(Ok(AcceptedChange {
      id: request.id,
      revision: Revision(2),
    }))
  }

  fn audit(&self, query: AuditQuery) -> NodeFuture<'_, Vec<AuditRecord>> {
    assert_eq!(query.operator.as_deref(), Some("ana b"));
    assert_eq!(query.limit, Some(3));
    Box::pin(async { Ok(Vec::new()) })
  }

  fn drain(&self, _attribution: Attribution) -> NodeFuture<'_, ()> {
    self.draining.store(true, Relaxed);
    self.count_change(Ok(()))
  }

  fn undrain(&self, _attribution: Attribution) -> NodeFuture<'_, ()> {
    self.draining.store(false, Relaxed);
    self.count_change(Ok(()))
  }

  fn quarantine(&self) -> NodeFuture<'_, Vec<QuarantineView>> {
    Box::pin(async { Ok(Vec::new()) })
  }

  fn release<'a>(&'a self, id: &'a str, _attribution: Attribution) -> NodeFuture<'a, ()> {
    match id {
      "f00d" => self.count_change(Ok(())),
      _ => self.count_change(Err(NodeError::NoQuarantine { id: id.into() })),
    }
  }
}
