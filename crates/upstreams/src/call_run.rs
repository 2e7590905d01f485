use {
  crate::{AnswerBody, CallWatch, Crash, CrashPart, Expiry, Lease, SentBody},
  bytes::Bytes,
  cactusyoke_http::{CheckedBody, HeaderNames, remove_hop_headers},
  cactusyoke_model::{
    Answer, BodyError, CallFailure, CallHead, Context, NotRunReason, Report, SpanId, UnknownReason,
  },
  http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header},
  http_body_util::{BodyExt, Limited},
  hyper::body::Incoming,
  std::{future::poll_fn, pin::pin, sync::Arc, task::Poll, time::Duration},
  tokio::time::timeout,
};

/// Longest body of a refusal that is read, bytes; the connection is closed when it is longer.
const MAX_REFUSAL: usize = 16 * 1024;

/// Time to read the body of a refusal.
const REFUSAL_TIME: Duration = Duration::from_millis(100);

/// One call on one connection.
#[derive(Debug)]
pub(crate) struct CallRun {
  pub(crate) head: CallHead,
  pub(crate) span: SpanId,
  pub(crate) lease: Lease,
  pub(crate) watch: CallWatch,
}

impl CallRun {
  pub(crate) async fn run(
    mut self,
    uri: Uri,
    context: Context,
    body: CheckedBody,
  ) -> Result<Answer, CallFailure> {
    let id = self.head.headers.get(&self.names().request_id).cloned();
    let mut request = Request::new(SentBody::new(body, Arc::clone(self.lease.state())));
    *request.method_mut() = self.head.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = self.headers(&context)?;
    loop {
      let mut sending = pin!(self.lease.send(request));
      let state = Arc::clone(self.lease.state());
      let watch = &mut self.watch;
      let sent = poll_fn(|cx| match sending.as_mut().poll(cx) {
        Poll::Ready(result) => Poll::Ready(Ok(result)),
        Poll::Pending => watch.poll_expired(cx, &state).map(Err),
      })
      .await;
      let mut error = match sent {
        Ok(Ok(response)) => return self.answer(response, id.as_ref()).await,
        Ok(Err(error)) => error,
        Err(expiry) => return Err(self.expired(expiry)),
      };
      let touched = state.seal();
      let message = error.take_message();
      match message.filter(|_request| self.lease.is_reused() && !touched) {
        None => return Err(self.lost(&error.into_error(), touched)),
        Some(unsent) => {
          // The upstream closed the idle connection. No byte was sent, so that another one may
          // be used, and a new one is not closed for being idle.
          self.lease = self.lease.replace().await.map_err(CallFailure::not_run)?;
          let state = Arc::clone(self.lease.state());
          request = unsent.map(|body| SentBody::new(body.into_inner(), state));
        }
      }
    }
  }

  fn names(&self) -> &'static HeaderNames {
    self.lease.pool().config().names
  }

  fn headers(&mut self, context: &Context) -> Result<HeaderMap, CallFailure> {
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
    if let Some(instance) = &self.lease.pool().announcement().instance {
      let value = HeaderValue::try_from(instance).map_err(|_error| bad_request())?;
      headers.insert(&names.instance, value);
    }
    if !headers.contains_key(header::HOST) {
      let address = self.lease.pool().announcement().address.to_string();
      let host = HeaderValue::try_from(address).map_err(|_error| bad_request())?;
      headers.insert(header::HOST, host);
    }
    Ok(headers)
  }

  async fn answer(
    mut self,
    response: Response<Incoming>,
    id: Option<&HeaderValue>,
  ) -> Result<Answer, CallFailure> {
    self.watch.progress();
    let names = self.names();
    if !is_answer_to(names, id, &response) {
      tracing::warn!(
        event = "answer_rejected",
        service = %self.head.service,
        route = %self.head.route,
        status = %response.status(),
        reason = "it does not belong to the request",
      );
      return Err(CallFailure::unknown(UnknownReason::BadAnswer));
    }
    if is_refusal(names, &response) {
      return Err(self.refused(response).await);
    }
    if !is_trusted(names, &response) {
      tracing::warn!(
        event = "answer_rejected",
        service = %self.head.service,
        route = %self.head.route,
        status = %response.status(),
        reason = "it has no mark of the upstream, or a promise without proof",
      );
      return Err(CallFailure::unknown(UnknownReason::BadAnswer));
    }
    self.note_kept(response.headers());
    if names.success_mark.is_none() && !has_end(&self.head.method, &response) {
      if self.lease.pool().report_once() {
        tracing::warn!(
        service = %self.head.service,
        route = %self.head.route,
        "answers refused: they have neither `content-length` nor `transfer-encoding`, so that a cut one would look whole"
        );
      }
      return Err(CallFailure::unknown(UnknownReason::BadAnswer));
    }
    let (parts, body) = response.into_parts();
    let mut headers = parts.headers;
    remove_hop_headers(&mut headers);
    let body = AnswerBody::new(body, self.watch, self.lease, self.head.root, self.span);
    Ok(Answer {
      status: parts.status,
      headers,
      report: Report::IDLE,
      body: body.boxed_unsync(),
    })
  }

  /// Reads the rest of a refusal, so that its connection can be used again.
  async fn refused(self, response: Response<Incoming>) -> CallFailure {
    let body = Limited::new(response.into_body(), MAX_REFUSAL).collect();
    if matches!(timeout(REFUSAL_TIME, body).await, Ok(Ok(_))) {
      self.lease.release();
    }
    CallFailure::not_run(NotRunReason::Refused)
  }

  /// Takes note of the time for which the upstream keeps idle connections open.
  fn note_kept(&self, headers: &HeaderMap) {
    let kept = headers
      .get("keep-alive")
      .and_then(|value| value.to_str().ok())
      .into_iter()
      .flat_map(|value| value.split(','))
      .filter_map(|part| part.trim().strip_prefix("timeout="))
      .find_map(|seconds| seconds.trim().parse().ok());
    if let Some(seconds) = kept {
      self.lease.pool().note_kept(Duration::from_secs(seconds));
    }
  }

  fn expired(&self, expiry: Expiry) -> CallFailure {
    let touched = self.lease.state().seal();
    match (expiry, touched) {
      (Expiry::Deadline, false) => CallFailure::not_run(NotRunReason::Deadline),
      (Expiry::Deadline, true) => CallFailure::unknown(UnknownReason::Deadline),
      (Expiry::Silence, false) => CallFailure::not_run(NotRunReason::Connection),
      (Expiry::Silence, true) => {
        tracing::warn!(service = %self.head.service, route = %self.head.route, "silent upstream connection closed");
        CallFailure::unknown(UnknownReason::Connection)
      }
    }
  }

  fn lost(&self, error: &hyper::Error, touched: bool) -> CallFailure {
    if self.lease.state().is_expired() {
      return self.expired(Expiry::Deadline);
    }
    let cut = self.lease.state().body_error();
    if !touched {
      let reason = if cut.is_some() {
        NotRunReason::Cancelled
      } else {
        NotRunReason::Connection
      };
      return CallFailure::not_run(reason);
    }
    match cut {
      Some(BodyError::Deadline) => return CallFailure::unknown(UnknownReason::Deadline),
      Some(BodyError::Cut | BodyError::Cancelled | BodyError::Length) => {
        return CallFailure::unknown(UnknownReason::Cancelled);
      }
      None => {}
    }
    if error.is_parse() {
      tracing::warn!(service = %self.head.service, %error, "answer refused");
      return CallFailure::unknown(UnknownReason::BadAnswer);
    }
    (self.lease.pool().config().crashed)(Crash {
      root: self.head.root,
      span: self.span,
      part: CrashPart::Head,
      reused: self.lease.is_reused(),
    });
    CallFailure::unknown(UnknownReason::Connection)
  }
}

/// True when the answer names the request, or need not.
fn is_answer_to(
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

/// True when the upstream says that it did not run the request.
fn is_refusal(names: &HeaderNames, response: &Response<Incoming>) -> bool {
  response.headers().contains_key(&names.refused)
    || response.status() == StatusCode::MISDIRECTED_REQUEST
}

/// True when the answer may be passed on as the upstream's. Statuses that promise that a request
/// has not run are not, without the upstream's word for it.
fn is_trusted(names: &HeaderNames, response: &Response<Incoming>) -> bool {
  let Some(mark) = &names.success_mark else {
    return true;
  };
  let status = response.status();
  let promise = matches!(
    status,
    StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
  );
  let marked = response.headers().contains_key(mark) || !status.is_success();
  let encoded = response.headers().contains_key(header::CONTENT_ENCODING);
  marked && !promise && !encoded && !status.is_informational()
}

/// True when the end of the answer can be told from a lost connection.
fn has_end(method: &Method, response: &Response<Incoming>) -> bool {
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
