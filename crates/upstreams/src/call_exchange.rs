use {
  crate::{
    AnswerBody, AnswerPart, CallTimer, Expiry, LostConnection, PooledConnection, RequestBody,
    StatedRate,
  },
  bytes::Bytes,
  cactusyoke_http::{CheckedBody, HeaderNames, remove_hop_headers},
  cactusyoke_model::{
    Answer, BodyError, CallFailure, CallHead, Context, NotRunReason, Report, SpanId, UnknownReason,
  },
  http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header},
  http_body_util::{BodyExt, Limited},
  hyper::body::Incoming,
  std::{
    future::poll_fn,
    pin::pin,
    sync::Arc,
    task::Poll,
    time::{Duration, Instant},
  },
  tokio::time::timeout,
};

/// Longest body of a refusal that is read; the connection is closed if it is longer.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;

/// Time limit for reading the body of a refusal; the connection is closed if it takes longer.
const REFUSAL_READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Sends one call to the upstream and interprets its answer.
#[derive(Debug)]
pub(crate) struct CallExchange {
  pub(crate) head: CallHead,
  pub(crate) span: SpanId,
  pub(crate) connection: PooledConnection,
  pub(crate) timer: CallTimer,
}

impl CallExchange {
  pub(crate) async fn run(
    mut self,
    uri: Uri,
    context: Context,
    body: CheckedBody,
  ) -> Result<Answer, CallFailure> {
    let id = self.head.headers.get(&self.names().request_id).cloned();
    let mut request = Request::new(RequestBody::new(body, Arc::clone(self.connection.state())));
    *request.method_mut() = self.head.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = self.request_headers(&context)?;
    let sent_at = self.connection.pool().config().clock.now();
    loop {
      let mut sending = pin!(self.connection.send(request));
      let state = Arc::clone(self.connection.state());
      let timer = &mut self.timer;
      let sent = poll_fn(|cx| match sending.as_mut().poll(cx) {
        Poll::Ready(result) => Poll::Ready(Ok(result)),
        Poll::Pending => timer.poll_expired(cx, &state).map(Err),
      })
      .await;
      let mut error = match sent {
        Ok(Ok(response)) => return self.read_answer(response, id.as_ref(), sent_at).await,
        Ok(Err(error)) => error,
        Err(expiry) => return Err(self.expiry_failure(expiry)),
      };
      let maybe_sent = state.seal();
      let message = error.take_message();
      match message.filter(|_request| self.connection.is_reused() && !maybe_sent) {
        None => return Err(self.connection_failure(&error.into_error(), maybe_sent)),
        Some(unsent) => {
          // The upstream closed the idle connection. No byte was sent, so another connection may
          // be used; a new one, because it cannot have been closed for being idle.
          self.connection = self
            .connection
            .reconnect()
            .await
            .map_err(CallFailure::not_run)?;
          let state = Arc::clone(self.connection.state());
          request = unsent.map(|body| RequestBody::new(body.into_inner(), state));
        }
      }
    }
  }

  fn names(&self) -> &'static HeaderNames {
    self.connection.pool().config().header_names
  }

  fn request_headers(&mut self, context: &Context) -> Result<HeaderMap, CallFailure> {
    let bad_request = || CallFailure::not_run(NotRunReason::BadRequest);
    let names = self.names();
    let mut headers = std::mem::take(&mut self.head.headers);
    remove_hop_headers(&mut headers);
    if let Some(name) = &names.context {
      let value = HeaderValue::from_maybe_shared(Bytes::from(context.to_string()));
      headers.insert(name, value.map_err(|_error| bad_request())?);
    }
    let remaining = context.remaining.as_millis() as u64;
    headers.insert(&names.deadline, HeaderValue::from(remaining));
    headers.remove(&names.tenant);
    if let Some(tenant) = &self.head.tenant {
      let value = HeaderValue::from_str(tenant.as_str()).map_err(|_error| bad_request())?;
      headers.insert(&names.tenant, value);
    }
    if let Some(instance) = &self.connection.pool().announcement().instance {
      let value = HeaderValue::try_from(instance).map_err(|_error| bad_request())?;
      headers.insert(&names.instance, value);
    }
    if !headers.contains_key(header::HOST) {
      let address = self.connection.pool().announcement().address.to_string();
      let host = HeaderValue::try_from(address).map_err(|_error| bad_request())?;
      headers.insert(header::HOST, host);
    }
    Ok(headers)
  }

  async fn read_answer(
    mut self,
    response: Response<Incoming>,
    id: Option<&HeaderValue>,
    sent_at: Instant,
  ) -> Result<Answer, CallFailure> {
    self.timer.record_progress();
    let names = self.names();
    if !matches_request(names, id, &response) {
      tracing::warn!(
        event = "answer_rejected",
        service = %self.head.service,
        route = %self.head.route,
        status = %response.status(),
        reason = "it does not belong to the request",
      );
      return Err(CallFailure::unknown(UnknownReason::BadAnswer));
    }
    self.report_statements(response.headers(), sent_at);
    if is_refusal(names, &response) {
      return Err(self.read_refusal(response, id).await);
    }
    if !is_trusted(names, &response) {
      tracing::warn!(
        event = "answer_rejected",
        service = %self.head.service,
        route = %self.head.route,
        status = %response.status(),
        reason = "it has no mark of the upstream, is compressed, or has a status that is not accepted",
      );
      return Err(CallFailure::unknown(UnknownReason::BadAnswer));
    }
    self.update_keep_alive(response.headers());
    if names.success_mark.is_none() && !is_delimited(&self.head.method, &response) {
      if self.connection.pool().claim_framing_report() {
        tracing::warn!(
        service = %self.head.service,
        route = %self.head.route,
        "answers rejected: without `content-length` or `transfer-encoding`, a truncated answer cannot be detected"
        );
      }
      return Err(CallFailure::unknown(UnknownReason::BadAnswer));
    }
    let (parts, body) = response.into_parts();
    let mut headers = parts.headers;
    remove_hop_headers(&mut headers);
    let body = AnswerBody::new(body, self.timer, self.connection, self.head.root, self.span);
    Ok(Answer {
      status: parts.status,
      headers,
      report: Report::IDLE,
      body: body.boxed_unsync(),
    })
  }

  /// Reports the rate of requests that the upstream states, and starts draining the upstream when it
  /// says that it is about to stop.
  fn report_statements(&self, headers: &HeaderMap, sent: Instant) {
    let (names, pool) = (self.names(), self.connection.pool());
    match StatedRate::read(names, headers, sent) {
      Ok(stated) => (pool.config().on_stated_rate)(stated),
      Err(error) if pool.claim_rate_report() => {
        tracing::warn!(event = "rate_limit_ignored", service = %self.head.service, %error);
      }
      Err(_reported) => {}
    }
    if headers
      .get(&names.leaving)
      .is_some_and(|value| value == "1")
    {
      pool
        .config()
        .view_handle
        .report_leaving(pool.announcement());
    }
  }

  /// Reads the body of a refusal, so that the connection can be reused.
  async fn read_refusal(
    self,
    response: Response<Incoming>,
    id: Option<&HeaderValue>,
  ) -> CallFailure {
    let body = Limited::new(response.into_body(), MAX_REFUSAL_BYTES).collect();
    if matches!(timeout(REFUSAL_READ_TIMEOUT, body).await, Ok(Ok(_))) {
      self.connection.release_refused(id);
    }
    CallFailure::not_run(NotRunReason::Refused)
  }

  /// Stores the `timeout` of the `keep-alive` header: the time for which the upstream keeps idle
  /// connections open.
  fn update_keep_alive(&self, headers: &HeaderMap) {
    let keep_alive = headers
      .get("keep-alive")
      .and_then(|value| value.to_str().ok())
      .into_iter()
      .flat_map(|value| value.split(','))
      .filter_map(|part| part.trim().strip_prefix("timeout="))
      .find_map(|seconds| seconds.trim().parse().ok());
    if let Some(seconds) = keep_alive {
      self
        .connection
        .pool()
        .set_keep_alive(Duration::from_secs(seconds));
    }
  }

  fn expiry_failure(&self, expiry: Expiry) -> CallFailure {
    let maybe_sent = self.connection.state().seal();
    match (expiry, maybe_sent) {
      (Expiry::Deadline, false) => CallFailure::not_run(NotRunReason::Deadline),
      (Expiry::Deadline, true) => CallFailure::unknown(UnknownReason::Deadline),
      (Expiry::Silence, false) => CallFailure::not_run(NotRunReason::Connection),
      (Expiry::Silence, true) => {
        tracing::warn!(service = %self.head.service, route = %self.head.route, "upstream connection closed for silence");
        CallFailure::unknown(UnknownReason::Connection)
      }
    }
  }

  fn connection_failure(&self, error: &hyper::Error, maybe_sent: bool) -> CallFailure {
    if self.connection.state().is_expired() {
      return self.expiry_failure(Expiry::Deadline);
    }
    let body_error = self.connection.state().body_error();
    if !maybe_sent {
      let reason = if body_error.is_some() {
        NotRunReason::Cancelled
      } else {
        NotRunReason::Connection
      };
      return CallFailure::not_run(reason);
    }
    match body_error {
      Some(BodyError::Deadline) => return CallFailure::unknown(UnknownReason::Deadline),
      Some(BodyError::ConnectionLost | BodyError::Cancelled | BodyError::Length) => {
        return CallFailure::unknown(UnknownReason::Cancelled);
      }
      None => {}
    }
    if error.is_parse() {
      tracing::warn!(service = %self.head.service, %error, "answer rejected: not valid HTTP");
      return CallFailure::unknown(UnknownReason::BadAnswer);
    }
    (self.connection.pool().config().on_lost_connection)(LostConnection {
      root: self.head.root,
      span: self.span,
      part: AnswerPart::Head,
      reused: self.connection.is_reused(),
    });
    CallFailure::unknown(UnknownReason::Connection)
  }
}

/// True when the answer repeats the id of the request. The id may be missing if the upstream marks
/// no answers.
fn matches_request(
  names: &HeaderNames,
  id: Option<&HeaderValue>,
  response: &Response<Incoming>,
) -> bool {
  match (response.headers().get(&names.request_id), id) {
    (Some(echo), Some(id)) => echo == id,
    (Some(_), None) => true,
    (None, _) => names.success_mark.is_none(),
  }
}

/// True when the upstream reports that it did not run the request.
fn is_refusal(names: &HeaderNames, response: &Response<Incoming>) -> bool {
  response.headers().contains_key(&names.refused)
    || response.status() == StatusCode::MISDIRECTED_REQUEST
}

/// True when the answer may be passed on as the upstream's. Where upstreams mark their answers,
/// this rejects successes without the mark, compressed and informational answers, and statuses
/// that say that the request was not run: only what [`is_refusal`] checks proves that.
fn is_trusted(names: &HeaderNames, response: &Response<Incoming>) -> bool {
  let Some(mark) = &names.success_mark else {
    return true;
  };
  let status = response.status();
  let not_run_status = matches!(
    status,
    StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
  );
  let marked = response.headers().contains_key(mark) || !status.is_success();
  let encoded = response.headers().contains_key(header::CONTENT_ENCODING);
  marked && !not_run_status && !encoded && !status.is_informational()
}

/// True when a complete answer can be distinguished from one truncated by a lost connection.
fn is_delimited(method: &Method, response: &Response<Incoming>) -> bool {
  let status = response.status();
  if status.is_informational() {
    return false;
  }
  let bodiless = *method == Method::HEAD
    || status == StatusCode::NO_CONTENT
    || status == StatusCode::NOT_MODIFIED;
  let headers = response.headers();
  let chunked = headers
    .get_all(header::TRANSFER_ENCODING)
    .iter()
    .next_back()
    .and_then(|value| value.to_str().ok())
    .and_then(|value| value.rsplit(',').next())
    .is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"));
  bodiless || chunked || headers.contains_key(header::CONTENT_LENGTH)
}
