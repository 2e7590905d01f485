//! Requests of callers and outgoing calls of the upstream, from HTTP to an outcome.

use {
  crate::{
    Core, Interface, dispatch::Dispatch, event_rate::Verdict, plan::Plan, replay::Replay,
    runs::Parent,
  },
  cactusyoke_callers::{CallHandler, CallerRequest, Limits},
  cactusyoke_model::{
    Answer, CallFailure, CallHead, Context, Level, NotRunReason, Preset, Priority, Report,
    RequestId, Retries, Route, SpanId,
  },
  http::HeaderValue,
  std::{sync::Arc, time::Instant},
  xxhash_rust::xxh3::{xxh3_64, xxh3_128},
};

/// Handler of the listener for callers: each request is a root request.
#[derive(Clone, Debug)]
pub struct Gateway(pub(crate) Arc<Core>);

/// Handler of the egress listener: calls belong to the call tree that their context or id names.
#[derive(Clone, Debug)]
pub struct Egress(pub(crate) Arc<Core>);

impl CallHandler for Gateway {
  fn limits(&self, initial: Limits) -> Limits {
    self.0.caller_limits(initial)
  }

  async fn handle(&self, request: CallerRequest) -> Result<Answer, CallFailure> {
    self.0.root_call(request).await
  }
}

impl CallHandler for Egress {
  fn limits(&self, initial: Limits) -> Limits {
    self.0.caller_limits(initial)
  }

  async fn handle(&self, request: CallerRequest) -> Result<Answer, CallFailure> {
    match self.0.parent_of(&request) {
      Some(parent) => self.0.child_call(request, parent).await,
      None => self.0.root_call(request).await,
    }
  }
}

impl Core {
  /// Bounds of the configuration in force, where it has some.
  fn caller_limits(&self, settings: Limits) -> Limits {
    let config = self.config.load();
    let bounds = config.preset().and_then(|preset| preset.callers);
    bounds.map_or(settings, |bounds| Limits {
      header_bytes: bounds.headers.0 as usize,
      body: bounds.body,
      // A caller may use a connection again that has been idle for most of this time, so that the
      // time for a head must not end it sooner.
      idle: bounds.idle.max(bounds.head_time),
      ..settings
    })
  }

  /// The request that the upstream runs and that makes this call.
  fn parent_of(&self, request: &CallerRequest) -> Option<Parent> {
    if let Some(context) = request.context {
      return Some(self.inherit(context));
    }
    self.runs.parent_of(request.id.as_ref()?)
  }

  fn inherit(&self, context: Context) -> Parent {
    Parent {
      root: context.root,
      span: context.span,
      priority: context.priority,
      deadline: self.clock.now() + context.remaining,
      depth: 1,
      repeat: false,
    }
  }

  async fn root_call(self: &Arc<Self>, request: CallerRequest) -> Result<Answer, CallFailure> {
    let started = self.clock.now();
    let _guard = self.enter()?;
    let preset = self.preset()?;
    let route = find_route(&preset, &request)?;
    let root = root_of(&request);
    let head = CallHead {
      root,
      priority: self.edges.priority(route, root, started),
      depth: 0,
      repeat: false,
      retries: route.retries,
      ..self.head_of(&request, route, started)
    };
    let service = head.service.clone();
    let result = self.send(&preset, route, head, request).await;
    self.conclude(route, 0, started, &result);
    result.map_err(|failure| failure.with_return(self.edges.return_time(route, &service)))
  }

  async fn child_call(
    self: &Arc<Self>,
    request: CallerRequest,
    parent: Parent,
  ) -> Result<Answer, CallFailure> {
    let started = self.clock.now();
    let preset = self.preset()?;
    let route = find_route(&preset, &request)?;
    let call = call_hash(&request);
    let retries = self
      .ledgers()
      .begin_call(parent.span, call)
      .map_err(CallFailure::not_run)?;
    let head = self.head_of(&request, route, started);
    let head = CallHead {
      root: parent.root,
      priority: parent.priority,
      depth: parent.depth,
      repeat: parent.repeat,
      retries,
      deadline: head.deadline.min(parent.deadline),
      ..head
    };
    let mut pending = PendingCall {
      core: self,
      span: parent.span,
      call,
      done: false,
    };
    let result = self.send(&preset, route, head, request).await;
    pending.finish(&result);
    self.conclude(route, parent.depth, started, &result);
    result
  }

  /// Counts an outcome, and logs one without an answer.
  fn conclude(
    &self,
    route: &Route,
    depth: u8,
    started: Instant,
    result: &Result<Answer, CallFailure>,
  ) {
    self.meters.outcome(&route.name, result);
    let (event, reason) = match result {
      Ok(_) => return,
      Err(CallFailure::NotRun { reason, .. }) => ("not_run", reason.as_str()),
      Err(CallFailure::Unknown { reason }) => ("unknown", reason.as_str()),
    };
    let now = self.clock.now();
    if let Verdict::Write { omitted } = self.failures.count(now) {
      let waited_ms = now.saturating_duration_since(started).as_millis() as u64;
      tracing::info!(
        event,
        reason,
        route = %route.name,
        service = %route.service(),
        rank = %route.rank,
        depth,
        waited_ms,
        omitted
      );
    }
  }

  /// Head of a request without what it inherits or begins with.
  fn head_of(&self, request: &CallerRequest, route: &Route, started: Instant) -> CallHead {
    let mut headers = request.headers.clone();
    if let Some(origin) = self.origin() {
      headers.insert(&self.names.origin, origin);
    }
    let asked = request.remaining.unwrap_or(route.deadline);
    CallHead {
      root: RequestId(0),
      route: route.name.clone(),
      service: self.edges.backend(route),
      method: request.method.clone(),
      path: request.path.clone(),
      headers,
      priority: Priority::new(route.rank, RequestId(0)),
      depth: 0,
      repeat: false,
      idempotent: route.idempotent,
      // A key on an idempotent route has no effect: running it twice does no harm.
      key: request.key.clone().filter(|_| !route.idempotent),
      retries: Retries::ZERO,
      deadline: started + asked.min(route.deadline),
    }
  }

  /// Service from which requests that enter here come.
  fn origin(&self) -> Option<HeaderValue> {
    let service = match &self.settings.interface {
      Interface::Platform { service, .. } => service.clone(),
      Interface::Own => self.views.load().announcement.as_ref()?.service.clone(),
    };
    HeaderValue::from_str(service.as_str()).ok()
  }

  async fn send(
    self: &Arc<Self>,
    preset: &Preset,
    route: &Route,
    head: CallHead,
    request: CallerRequest,
  ) -> Result<Answer, CallFailure> {
    let body = Replay::read(request.body)
      .await
      .map_err(|_error| CallFailure::not_run(NotRunReason::BadRequest))?;
    let plan = Plan::of(route, preset);
    Dispatch::new(self, head, body, plan).run().await
  }

  fn preset(&self) -> Result<Arc<Preset>, CallFailure> {
    let config = self.config.load();
    let preset = config.preset().cloned();
    if preset.is_some() {
      self.put_in_force(config.revision);
    }
    preset.ok_or(CallFailure::not_run(NotRunReason::NoPreset))
  }
}

fn find_route<'a>(preset: &'a Preset, request: &CallerRequest) -> Result<&'a Route, CallFailure> {
  let path = request.path.split('?').next().unwrap_or_default();
  preset
    .route(&request.method, &request.host, path)
    .ok_or(CallFailure::not_run(NotRunReason::NoRoute))
}

/// Identity of a root request: from the id that its caller chose, or random.
fn root_of(request: &CallerRequest) -> RequestId {
  match &request.id {
    Some(id) => RequestId(xxh3_128(id.as_bytes())),
    None => RequestId::random(&mut rand::rng()),
  }
}

/// What a repeat of the call by its upstream has in common with it.
fn call_hash(request: &CallerRequest) -> u64 {
  if let Some(id) = &request.id {
    return xxh3_64(id.as_bytes());
  }
  let mut text = Vec::with_capacity(request.path.len() + 8);
  text.extend_from_slice(request.method.as_str().as_bytes());
  text.push(b' ');
  text.extend_from_slice(request.path.as_bytes());
  xxh3_64(&text)
}

/// Outgoing call of a span; counted as failed when it is cancelled.
struct PendingCall<'a> {
  core: &'a Core,
  span: SpanId,
  call: u64,
  done: bool,
}

impl PendingCall<'_> {
  fn finish(&mut self, result: &Result<Answer, CallFailure>) {
    let (report, failed) = match result {
      Ok(answer) => (answer.report, answer.status.is_server_error()),
      Err(CallFailure::NotRun { report, .. }) => (report.unwrap_or(Report::IDLE), true),
      Err(CallFailure::Unknown { .. }) => (Report::IDLE, true),
    };
    self.core.ledgers().strained(self.span, report.strain);
    self.end(report.unused, failed, report.level);
  }

  fn end(&mut self, unused: Retries, failed: bool, level: Level) {
    self.done = true;
    self
      .core
      .ledgers()
      .end_call(self.span, self.call, unused, failed, level);
  }
}

impl Drop for PendingCall<'_> {
  fn drop(&mut self) {
    if !self.done {
      self.end(Retries::ZERO, true, Level::ALL);
    }
  }
}
