//! Requests of callers and outgoing calls of the upstream, from HTTP to an outcome.

use {
  crate::{Core, dispatch::Dispatch, replay::Replay},
  cactusyoke_callers::{CallHandler, CallerRequest},
  cactusyoke_model::{
    Answer, CallFailure, CallHead, Context, Level, NotRunReason, Preset, Priority, Report,
    RequestId, Retries, Route,
  },
  std::{sync::Arc, time::Instant},
  xxhash_rust::xxh3::xxh3_64,
};

/// Handler of the listener for callers: each request is a root request.
#[derive(Clone, Debug)]
pub struct Gateway(pub(crate) Arc<Core>);

/// Handler of the egress listener: calls belong to the call tree that their context names.
#[derive(Clone, Debug)]
pub struct Egress(pub(crate) Arc<Core>);

impl CallHandler for Gateway {
  async fn handle(&self, request: CallerRequest) -> Result<Answer, CallFailure> {
    self.0.root_call(request).await
  }
}

impl CallHandler for Egress {
  async fn handle(&self, request: CallerRequest) -> Result<Answer, CallFailure> {
    match request.context {
      Some(context) => self.0.child_call(request, context).await,
      None => self.0.root_call(request).await,
    }
  }
}

impl Core {
  async fn root_call(self: &Arc<Self>, request: CallerRequest) -> Result<Answer, CallFailure> {
    let started = self.clock.now();
    let _guard = self.enter()?;
    let preset = self.preset()?;
    let route = find_route(&preset, &request)?;
    let root = new_request();
    let priority = Priority::new(route.rank, root);
    let deadline = started + route.deadline;
    let head = head_of(&request, route, root, priority, route.retries, deadline);
    let result = self.send(&preset, route, head, request, true).await;
    self.meters.outcome(&route.name, &result);
    result
  }

  async fn child_call(
    self: &Arc<Self>,
    request: CallerRequest,
    context: Context,
  ) -> Result<Answer, CallFailure> {
    let started = self.clock.now();
    let preset = self.preset()?;
    let route = find_route(&preset, &request)?;
    let call = call_hash(&request);
    let retries = self
      .ledgers()
      .begin_call(context.span, call)
      .map_err(CallFailure::not_run)?;
    let deadline = started + context.remaining.min(route.deadline);
    let head = head_of(
      &request,
      route,
      context.root,
      context.priority,
      retries,
      deadline,
    );
    let mut pending = PendingCall {
      core: self,
      context,
      call,
      done: false,
    };
    let result = self.send(&preset, route, head, request, false).await;
    pending.finish(&result);
    self.meters.outcome(&route.name, &result);
    result
  }

  async fn send(
    self: &Arc<Self>,
    preset: &Preset,
    route: &Route,
    head: CallHead,
    request: CallerRequest,
    root: bool,
  ) -> Result<Answer, CallFailure> {
    let body = Replay::read(request.body)
      .await
      .map_err(|_error| CallFailure::not_run(NotRunReason::BadRequest))?;
    Dispatch::new(self, head, body, root)
      .run(route.spill, preset.retry_ratio)
      .await
  }

  fn preset(&self) -> Result<Arc<Preset>, CallFailure> {
    let config = self.config.load();
    config
      .preset()
      .cloned()
      .ok_or(CallFailure::not_run(NotRunReason::NoPreset))
  }
}

fn find_route<'a>(preset: &'a Preset, request: &CallerRequest) -> Result<&'a Route, CallFailure> {
  let path = request.path.split('?').next().unwrap_or_default();
  preset
    .route(&request.method, path)
    .ok_or(CallFailure::not_run(NotRunReason::NoRoute))
}

fn head_of(
  request: &CallerRequest,
  route: &Route,
  root: RequestId,
  priority: Priority,
  retries: Retries,
  deadline: Instant,
) -> CallHead {
  CallHead {
    root,
    route: route.name.clone(),
    service: route.service.clone(),
    method: request.method.clone(),
    path: request.path.clone(),
    headers: request.headers.clone(),
    priority,
    idempotent: route.idempotent,
    // A key on an idempotent route has no effect: running it twice does no harm.
    key: request.key.clone().filter(|_| !route.idempotent),
    retries,
    deadline,
  }
}

fn new_request() -> RequestId {
  RequestId::random(&mut rand::rng())
}

fn call_hash(request: &CallerRequest) -> u64 {
  let mut text = Vec::with_capacity(request.path.len() + 8);
  text.extend_from_slice(request.method.as_str().as_bytes());
  text.push(b' ');
  text.extend_from_slice(request.path.as_bytes());
  xxh3_64(&text)
}

/// Outgoing call of a span; counted as failed when it is cancelled.
struct PendingCall<'a> {
  core: &'a Core,
  context: Context,
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
    self.end(report.unused, failed, report.level);
  }

  fn end(&mut self, unused: Retries, failed: bool, level: Level) {
    self.done = true;
    self
      .core
      .ledgers()
      .end_call(self.context.span, self.call, unused, failed, level);
  }
}

impl Drop for PendingCall<'_> {
  fn drop(&mut self) {
    if !self.done {
      self.end(Retries::ZERO, true, Level::ALL);
    }
  }
}
