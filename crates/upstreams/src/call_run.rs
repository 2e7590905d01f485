use {
  crate::{AnswerBody, CallWatch, Crash, CrashPart, Expiry, Lease, SentBody},
  cactusyoke_http::{CheckedBody, remove_hop_headers},
  cactusyoke_model::{
    Answer, BodyError, CallFailure, CallHead, NotRunReason, Report, SpanId, UnknownReason,
  },
  http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header},
  http_body_util::BodyExt,
  hyper::body::Incoming,
  std::{future::poll_fn, pin::pin, sync::Arc, task::Poll},
};

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
    context: HeaderValue,
    body: CheckedBody,
  ) -> Result<Answer, CallFailure> {
    let mut request = Request::new(SentBody::new(body, Arc::clone(self.lease.state())));
    *request.method_mut() = self.head.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = self.headers(context)?;
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
        Ok(Ok(response)) => return self.answer(response),
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

  fn headers(&mut self, context: HeaderValue) -> Result<HeaderMap, CallFailure> {
    let mut headers = std::mem::take(&mut self.head.headers);
    remove_hop_headers(&mut headers);
    headers.insert(cactusyoke_model::CONTEXT_HEADER, context);
    if !headers.contains_key(header::HOST) {
      let address = self.lease.pool().announcement().address.to_string();
      let host = HeaderValue::try_from(address)
        .map_err(|_error| CallFailure::not_run(NotRunReason::BadRequest))?;
      headers.insert(header::HOST, host);
    }
    Ok(headers)
  }

  fn answer(mut self, response: Response<Incoming>) -> Result<Answer, CallFailure> {
    self.watch.progress();
    if !has_end(&self.head.method, &response) {
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
