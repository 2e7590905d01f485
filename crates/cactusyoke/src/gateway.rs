//! Handlers of the HTTP listeners: requests of callers and outgoing calls of the local upstream.

use {
  crate::{
    Core, Interface, buffered_body::BufferedBody, dispatch::Dispatch, event_limiter::Verdict,
    parents::Parent, send_policy::SendPolicy, tenants,
  },
  cactusyoke_callers::{CallHandler, CallerRequest, Limits},
  cactusyoke_memory::MemoryAccount,
  cactusyoke_model::{
    Answer, Body, CallFailure, CallHead, Context, Level, NotRunReason, Preset, Priority, Repeat,
    Report, RequestId, Retries, Route, SpanId, TenantName, UnknownReason,
  },
  http::HeaderValue,
  std::{sync::Arc, time::Instant},
  tokio::time::timeout_at,
  xxhash_rust::xxh3::{xxh3_64, xxh3_128},
};

/// Handler of the listener for callers; each request is the root of a call tree.
#[derive(Clone, Debug)]
pub struct Gateway(pub(crate) Arc<Core>);

/// Handler of the egress listener. A call whose context or id names a request of the local upstream
/// joins the call tree of that request; any other call is the root of a new one.
#[derive(Clone, Debug)]
pub struct Egress(pub(crate) Arc<Core>);

impl CallHandler for Gateway {
  fn limits(&self, initial: Limits) -> Limits {
    self.0.caller_limits(initial)
  }

  fn memory(&self) -> Arc<MemoryAccount> {
    Arc::clone(&self.0.memory)
  }

  async fn handle(&self, request: CallerRequest) -> Result<Answer, CallFailure> {
    self.0.until_cut_off(self.0.root_call(request)).await
  }
}

impl CallHandler for Egress {
  fn limits(&self, initial: Limits) -> Limits {
    self.0.caller_limits(initial)
  }

  fn memory(&self) -> Arc<MemoryAccount> {
    Arc::clone(&self.0.memory)
  }

  async fn handle(&self, request: CallerRequest) -> Result<Answer, CallFailure> {
    let answering = async {
      match self.0.parent_of(&request) {
        Some(parent) => self.0.nested_call(request, parent).await,
        None => self.0.root_call(request).await,
      }
    };
    self.0.until_cut_off(answering).await
  }
}

impl Core {
  /// Ends a request when a shutdown cuts off what is still in flight. The request may have run.
  async fn until_cut_off(
    &self,
    answering: impl Future<Output = Result<Answer, CallFailure>>,
  ) -> Result<Answer, CallFailure> {
    tokio::select! {
      biased;
      result = answering => result,
      () = self.cut_off.cancelled() => Err(CallFailure::unknown(UnknownReason::Cancelled)),
    }
  }

  /// Limits for callers, from the preset in force where it sets them.
  fn caller_limits(&self, initial: Limits) -> Limits {
    let config = self.config.load();
    let bounds = config.preset().and_then(|preset| preset.callers);
    bounds.map_or(initial, |bounds| Limits {
      header_bytes: bounds.headers.0 as usize,
      body: bounds.body,
      // This limits both the time that a connection is idle and the time for the next head. Callers
      // may reuse a connection that was idle for almost `bounds.idle`, so a shorter `head_time` must
      // not close it first.
      idle: bounds.idle.max(bounds.head_time),
      ..initial
    })
  }

  /// Request that the local upstream makes this call for, found by the context or id of the call.
  fn parent_of(&self, request: &CallerRequest) -> Option<Parent> {
    if let Some(context) = request.context {
      return Some(self.parent_of_context(context));
    }
    self.parents.find(request.id.as_ref()?)
  }

  fn parent_of_context(&self, context: Context) -> Parent {
    Parent {
      root: context.root,
      span: context.span,
      priority: context.priority,
      deadline: self.clock.now() + context.remaining,
      tenant: self.parents.tenant_of(context.span),
      // The context carries neither of these. Only the depth of a root request, zero, is treated
      // differently from others.
      depth: 1,
      repeat: Repeat::No,
    }
  }

  async fn root_call(self: &Arc<Self>, mut request: CallerRequest) -> Result<Answer, CallFailure> {
    let started = self.clock.now();
    let _guard = self.enter()?;
    let preset = self.preset()?;
    let route = find_route(&preset, &request)?;
    let root = root_id(&request);
    let mut call = CallSummary {
      route,
      tenant: None,
      priority: Priority::new(route.rank, root),
      depth: 0,
      started,
    };
    let tenant = tenants::identify(&preset, route, &mut request.headers);
    let tenant = self.record_refusal(call, tenant)?;
    let tenant = tenant.as_deref();
    call.tenant = tenant.map(|tenant| &tenant.name);
    let base = self.base_head(&request, route, started);
    let body = self.read_body(request.body, base.deadline).await;
    let body = self.record_refusal(call, body)?;
    // Counted for its usage cap only now: a request whose body is held back runs later.
    let now = self.clock.now();
    let admitted = tenant.map(|tenant| self.usage_caps.admit(tenant, now));
    let admitted = self.record_refusal(call, admitted.transpose())?.flatten();
    let head = CallHead {
      root,
      tenant: tenant.map(|tenant| tenant.name.clone()),
      priority: self.load_control.priority(route, tenant, root, started),
      depth: 0,
      repeat: Repeat::No,
      retries: route.retries,
      ..base
    };
    call.priority = head.priority;
    let service = head.service.clone();
    let policy = SendPolicy::of(route, &preset);
    let result = Dispatch::new(self, head, body, policy).run().await;
    self.record_outcome(call, &result);
    if let (Some(admitted), Err(CallFailure::NotRun { .. })) = (&admitted, &result) {
      self.usage_caps.refund(admitted);
    }
    result
      .map_err(|failure| failure.with_retry_delay(self.load_control.retry_delay(route, &service)))
  }

  async fn nested_call(
    self: &Arc<Self>,
    mut request: CallerRequest,
    parent: Parent,
  ) -> Result<Answer, CallFailure> {
    let started = self.clock.now();
    let preset = self.preset()?;
    let route = find_route(&preset, &request)?;
    tenants::remove_key(&preset, &mut request.headers);
    let call = repeat_hash(&request);
    let retries = self
      .ledgers()
      .begin_call(parent.span, call)
      .map_err(CallFailure::not_run)?;
    let head = self.base_head(&request, route, started);
    let head = CallHead {
      root: parent.root,
      tenant: parent.tenant.clone(),
      priority: parent.priority,
      depth: parent.depth,
      repeat: parent.repeat,
      retries,
      deadline: head.deadline.min(parent.deadline),
      ..head
    };
    let mut outgoing = OutgoingCall {
      core: self,
      span: parent.span,
      call,
      done: false,
    };
    let policy = SendPolicy::of(route, &preset);
    let result = match self.read_body(request.body, head.deadline).await {
      Ok(body) => Dispatch::new(self, head, body, policy).run().await,
      Err(failure) => Err(failure),
    };
    outgoing.finish(&result);
    let call = CallSummary {
      route,
      tenant: parent.tenant.as_ref(),
      priority: parent.priority,
      depth: parent.depth,
      started,
    };
    self.record_outcome(call, &result);
    result
  }

  /// Records a failed check before a request is sent.
  fn record_refusal<T>(
    &self,
    call: CallSummary<'_>,
    checked: Result<T, CallFailure>,
  ) -> Result<T, CallFailure> {
    checked.inspect_err(|failure| self.record_outcome(call, &Err(*failure)))
  }

  /// Counts an outcome. Failures are also logged, at a limited rate.
  fn record_outcome(&self, call: CallSummary<'_>, result: &Result<Answer, CallFailure>) {
    let CallSummary {
      route,
      tenant,
      priority,
      depth,
      started,
    } = call;
    self.meters.count_outcome(&route.name, result);
    if let Some(tenant) = tenant.filter(|_| depth == 0) {
      self.meters.count_tenant(tenant, result);
    }
    let (event, reason) = match result {
      Ok(_) => return,
      Err(CallFailure::NotRun { reason, .. }) => ("not_run", reason.as_str()),
      Err(CallFailure::Unknown { reason }) => ("unknown", reason.as_str()),
    };
    let now = self.clock.now();
    if let Verdict::Write { omitted } = self.log_limiter.check(now) {
      let waited_ms = now.saturating_duration_since(started).as_millis() as u64;
      tracing::info!(
        event,
        reason,
        route = %route.name,
        service = %route.service(),
        rank = %priority.rank(),
        tenant = tenant.map(TenantName::as_str),
        %priority,
        level = %self.load_control.level(&route.name, now),
        depth,
        waited_ms,
        omitted
      );
    }
  }

  /// Call head before its root, priority, depth and retries are known.
  fn base_head(&self, request: &CallerRequest, route: &Route, started: Instant) -> CallHead {
    let mut headers = request.headers.clone();
    if let Some(origin) = self.origin() {
      headers.insert(&self.header_names.origin, origin);
    }
    let requested = request.remaining.unwrap_or(route.deadline);
    CallHead {
      root: RequestId(0),
      tenant: None,
      route: route.name.clone(),
      service: self.load_control.backend(route),
      method: request.method.clone(),
      path: request.path.clone(),
      headers,
      priority: Priority::new(route.rank, RequestId(0)),
      depth: 0,
      repeat: Repeat::No,
      idempotent: route.idempotent,
      // Idempotent routes ignore keys: running a request twice does no harm.
      key: request.key.clone().filter(|_| !route.idempotent),
      retries: Retries::ZERO,
      deadline: started + requested.min(route.deadline),
    }
  }

  /// Service of the local upstream, sent as the origin of the calls that enter here.
  fn origin(&self) -> Option<HeaderValue> {
    let service = match &self.settings.interface {
      Interface::Platform { service, .. } => service.clone(),
      Interface::Native => self
        .upstream_view
        .load()
        .announcement
        .as_ref()?
        .service
        .clone(),
    };
    HeaderValue::from_str(service.as_str()).ok()
  }

  /// Reads a body, or its start if it is large, until the deadline. Nothing has been sent before.
  async fn read_body(&self, body: Body, deadline: Instant) -> Result<BufferedBody, CallFailure> {
    let reading = timeout_at(deadline.into(), BufferedBody::read(body));
    tokio::select! {
      biased;
      read = reading => read
        .map_err(|_elapsed| CallFailure::not_run(NotRunReason::Deadline))?
        .map_err(|_error| CallFailure::not_run(NotRunReason::BadRequest)),
      () = self.cut_off.cancelled() => Err(CallFailure::not_run(NotRunReason::Draining)),
    }
  }

  /// Preset of the adopted configuration, which is put in force if it is not yet.
  fn preset(&self) -> Result<Arc<Preset>, CallFailure> {
    let config = self.config.load();
    let preset = config.preset().cloned();
    if preset.is_some() {
      self.put_in_force(config.revision);
    }
    preset.ok_or(CallFailure::not_run(NotRunReason::NoPreset))
  }
}

/// Facts of a request or nested call for logs and counters.
#[derive(Clone, Copy, Debug)]
struct CallSummary<'a> {
  route: &'a Route,
  tenant: Option<&'a TenantName>,
  priority: Priority,
  depth: u8,
  started: Instant,
}

fn find_route<'a>(preset: &'a Preset, request: &CallerRequest) -> Result<&'a Route, CallFailure> {
  let path = request.path.split('?').next().unwrap_or_default();
  preset
    .route(&request.method, &request.host, path)
    .ok_or(CallFailure::not_run(NotRunReason::NoRoute))
}

/// Root id: hash of the id that the caller set, or random.
fn root_id(request: &CallerRequest) -> RequestId {
  match &request.id {
    Some(id) => RequestId(xxh3_128(id.as_bytes())),
    None => RequestId::random(&mut rand::rng()),
  }
}

/// Hash that a call and its repeats share: of the id, or of method and path.
fn repeat_hash(request: &CallerRequest) -> u64 {
  if let Some(id) = &request.id {
    return xxh3_64(id.as_bytes());
  }
  let mut text = Vec::with_capacity(request.path.len() + 8);
  text.extend_from_slice(request.method.as_str().as_bytes());
  text.push(b' ');
  text.extend_from_slice(request.path.as_bytes());
  xxh3_64(&text)
}

/// Call that the local upstream makes during a span. Dropped unfinished, it is counted as failed.
struct OutgoingCall<'a> {
  core: &'a Core,
  span: SpanId,
  call: u64,
  done: bool,
}

impl OutgoingCall<'_> {
  fn finish(&mut self, result: &Result<Answer, CallFailure>) {
    let (report, failed) = match result {
      Ok(answer) => (answer.report, answer.status.is_server_error()),
      Err(CallFailure::NotRun { report, .. }) => (report.unwrap_or(Report::IDLE), true),
      Err(CallFailure::Unknown { .. }) => (Report::IDLE, true),
    };
    self
      .core
      .ledgers()
      .add_bottleneck(self.span, report.bottleneck);
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

impl Drop for OutgoingCall<'_> {
  fn drop(&mut self) {
    if !self.done {
      self.end(Retries::ZERO, true, Level::ALL);
    }
  }
}
