use {
  crate::upstream::{
    Client, Config, Faults, NestedCall, ReceivedResponse, RunLog, TAG_HEADER,
    bodies::{HASH_HEADER, HashedBody, hash_value, pattern_body, truncated_body},
  },
  cactusyoke_model::{Body, CONTEXT_HEADER, Context, empty_body, full_body},
  http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header},
  http_body_util::BodyExt,
  hyper::body::Incoming,
  std::{
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
  },
  tokio::{
    sync::Semaphore,
    time::{sleep, timeout},
  },
};

/// Handler of the requests of one stand-in, with the state that they share.
#[derive(Debug)]
pub(crate) struct RequestHandler {
  pub(crate) config: Config,
  pub(crate) faults: Faults,
  slots: Semaphore,
  in_flight: AtomicU32,
  client: Client,
}

/// Guard that counts a request as in flight, also when it fails or is cancelled.
struct InFlight<'a>(&'a AtomicU32);

impl<'a> InFlight<'a> {
  fn new(count: &'a AtomicU32) -> Self {
    count.fetch_add(1, Ordering::SeqCst);
    Self(count)
  }
}

impl Drop for InFlight<'_> {
  fn drop(&mut self) {
    self.0.fetch_sub(1, Ordering::SeqCst);
  }
}

impl RequestHandler {
  pub(crate) fn new(config: Config) -> Self {
    Self {
      slots: Semaphore::new(config.slots.0 as usize),
      config,
      faults: Faults::default(),
      in_flight: AtomicU32::new(0),
      client: Client::default(),
    }
  }

  pub(crate) fn in_flight(&self) -> u32 {
    self.in_flight.load(Ordering::SeqCst)
  }

  /// Runs one request within the remaining time of its context.
  pub(crate) async fn run(&self, request: Request<Incoming>, started: Instant) -> Response<Body> {
    if let Some(response) = self.health_or_load(request.uri().path()) {
      return response;
    }
    let tag = self.record_start(&request);
    let limit = header_text(request.headers(), CONTEXT_HEADER)
      .parse()
      .map_or(Duration::MAX, |context: Context| context.remaining);
    let work = self.process(request, &tag, started);
    let response = match timeout(limit, work).await {
      Ok(response) => response,
      Err(_elapsed) => reply(StatusCode::GATEWAY_TIMEOUT, full_body("late\n")),
    };
    if !tag.is_empty() && response.status().is_success() {
      self.config.runs.record_finish(&tag);
    }
    response
  }

  /// Records a received request in the run log and returns its tag.
  pub(crate) fn record_start(&self, request: &Request<Incoming>) -> String {
    let tag = header_text(request.headers(), TAG_HEADER).to_owned();
    if !tag.is_empty() {
      self.config.runs.record_start(&tag);
    }
    tag
  }

  fn health_or_load(&self, path: &str) -> Option<Response<Body>> {
    match path {
      "/health" if self.faults.health() => Some(reply(StatusCode::OK, full_body("healthy\n"))),
      "/health" => Some(reply(
        StatusCode::SERVICE_UNAVAILABLE,
        full_body("unhealthy\n"),
      )),
      "/load" => {
        let load = serde_json::json!({ "in_flight": self.faults.load(self.in_flight()) });
        Some(reply(StatusCode::OK, full_body(load.to_string())))
      }
      _ => None,
    }
  }

  async fn process(
    &self,
    request: Request<Incoming>,
    tag: &str,
    started: Instant,
  ) -> Response<Body> {
    let _in_flight = InFlight::new(&self.in_flight);
    if self.faults.is_failing_fast() {
      return reply(
        StatusCode::INTERNAL_SERVER_ERROR,
        full_body("failing fast\n"),
      );
    }
    let Ok(_slot) = self.slots.acquire().await else {
      return reply(StatusCode::SERVICE_UNAVAILABLE, full_body("closed\n"));
    };
    let _timer = SlotTimer {
      runs: &self.config.runs,
      tag,
      started: Instant::now(),
    };
    let mut time = self.faults.scale(self.config.service_time.draw());
    if started.elapsed() < self.config.cold_start {
      time = time.mul_f64(self.config.cold_factor);
    }
    if !time.is_zero() {
      sleep(time).await;
    }
    let path = request.uri().path().to_owned();
    let context = request.headers().get(CONTEXT_HEADER).cloned();
    let nested_calls = self
      .config
      .nested_calls
      .iter()
      .filter(|nested_call| path.starts_with(&nested_call.parent));
    for nested_call in nested_calls {
      if let Err(response) = self.call(nested_call, context.as_ref(), tag).await {
        return response;
      }
    }
    respond(&path, request).await
  }

  /// Calls another service through the node; `Err` is the response to a request whose call failed.
  async fn call(
    &self,
    nested_call: &NestedCall,
    context: Option<&HeaderValue>,
    tag: &str,
  ) -> Result<ReceivedResponse, Response<Body>> {
    let failed = |line: String| reply(StatusCode::BAD_GATEWAY, full_body(line));
    let Some(egress) = self.config.egress else {
      return Err(failed("no egress listener is set\n".to_owned()));
    };
    let mut request = Request::builder()
      .method(nested_call.method.clone())
      .uri(&nested_call.path);
    if let Some(context) = context {
      request = request.header(CONTEXT_HEADER, context);
    }
    if !tag.is_empty() {
      request = request.header(TAG_HEADER, format!("{tag}>{}", nested_call.path));
    }
    let request = request
      .body(empty_body())
      .map_err(|error| failed(format!("child call: {error}\n")))?;
    match self.client.exchange(egress, request).await {
      Ok(received) if received.status.is_success() && received.is_intact() => Ok(received),
      Ok(received) => Err(failed(format!("child call: {}\n", received.status))),
      Err(error) => Err(failed(format!("child call: {error}\n"))),
    }
  }
}

/// Guard that records how long a request holds its slot, also when it fails or is cancelled.
struct SlotTimer<'a> {
  runs: &'a RunLog,
  tag: &'a str,
  started: Instant,
}

impl Drop for SlotTimer<'_> {
  fn drop(&mut self) {
    if !self.tag.is_empty() {
      self.runs.record_slot_time(self.tag, self.started.elapsed());
    }
  }
}

async fn respond(path: &str, request: Request<Incoming>) -> Response<Body> {
  let body = request.into_body();
  if path == "/echo" {
    let body = body.map_err(|_error| cactusyoke_model::BodyError::ConnectionLost);
    return with_trailer(HashedBody::new(body.boxed_unsync()).boxed_unsync());
  }
  if let Some(length) = path_number(path, "/size/") {
    return with_trailer(pattern_body(length));
  }
  if let Some(length) = path_number(path, "/cut/") {
    return reply(StatusCode::OK, truncated_body(length));
  }
  match ReceivedResponse::read(Response::new(body)).await {
    Err(_error) => reply(StatusCode::BAD_REQUEST, full_body("the body was cut off\n")),
    Ok(received) => {
      let line = format!("{} {:016x}\n", received.length, received.hash);
      let mut response = reply(StatusCode::OK, full_body(line.clone()));
      let hash = hash_value(xxhash_rust::xxh3::xxh3_64(line.as_bytes()));
      response.headers_mut().insert(HASH_HEADER, hash);
      response
    }
  }
}

fn with_trailer(body: Body) -> Response<Body> {
  let mut response = reply(StatusCode::OK, body);
  response
    .headers_mut()
    .insert(header::TRAILER, HeaderValue::from_name(HASH_HEADER));
  response
}

fn reply(status: StatusCode, body: Body) -> Response<Body> {
  let mut response = Response::new(body);
  *response.status_mut() = status;
  response
}

pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
  let value = headers.get(name);
  value
    .and_then(|value| value.to_str().ok())
    .unwrap_or_default()
}

fn path_number(path: &str, prefix: &str) -> Option<u64> {
  path.strip_prefix(prefix)?.parse().ok()
}
