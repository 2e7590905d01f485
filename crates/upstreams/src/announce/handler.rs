use {
  crate::{
    Phase,
    announce::{AnnounceMessage, Notice, NoticeError, NoticeReader},
  },
  cactusyoke_http::{CallHandler, CallerRequest},
  cactusyoke_model::{Answer, CallFailure, NotRunReason, Report, full_body},
  http::{HeaderMap, HeaderValue, StatusCode, header},
  http_body_util::BodyExt,
  ractor::ActorRef,
  std::sync::Arc,
  tokio::sync::oneshot,
};

/// HTTP handler of the announcement listener.
#[derive(Debug)]
pub(crate) struct AnnounceHandler {
  pub(crate) actor: ActorRef<AnnounceMessage>,
  pub(crate) reader: Arc<dyn NoticeReader>,
}

impl CallHandler for AnnounceHandler {
  async fn handle(&self, request: CallerRequest) -> Result<Answer, CallFailure> {
    let body = request
      .body
      .collect()
      .await
      .map_err(|_error| CallFailure::not_run(NotRunReason::BadRequest))?
      .to_bytes();
    let path = request.path.split('?').next().unwrap_or_default();
    let notice = match self.reader.read(&request.method, path, &body) {
      Ok(notice) => notice,
      Err(error) => return Ok(rejected(&error)),
    };
    let is_drain = notice == Notice::Drain;
    match self.deliver(notice).await? {
      Phase::Gone if is_drain => Ok(text(
        StatusCode::CONFLICT,
        "no upstream is announced: send `PUT /announce` first",
      )),
      phase => Ok(accepted(phase)),
    }
  }
}

impl AnnounceHandler {
  async fn deliver(&self, notice: Notice) -> Result<Phase, CallFailure> {
    let stopped = || CallFailure::not_run(NotRunReason::Draining);
    let (sender, receiver) = oneshot::channel();
    self
      .actor
      .cast(AnnounceMessage::Notice(notice, sender.into()))
      .map_err(|_error| stopped())?;
    receiver.await.map_err(|_error| stopped())
  }
}

fn accepted(phase: Phase) -> Answer {
  let mut answer = text(StatusCode::OK, &format!("{{\"phase\":\"{phase}\"}}"));
  answer.headers.insert(
    header::CONTENT_TYPE,
    HeaderValue::from_static("application/json"),
  );
  answer
}

fn rejected(error: &NoticeError) -> Answer {
  let line = error.to_string();
  match error {
    NoticeError::NoSuchRequest(_) => text(StatusCode::NOT_FOUND, &line),
    NoticeError::Method(allowed) => {
      let mut answer = text(StatusCode::METHOD_NOT_ALLOWED, &line);
      let allowed = HeaderValue::from_static(allowed);
      answer.headers.insert(header::ALLOW, allowed);
      answer
    }
    NoticeError::Announcement(_) | NoticeError::Unreadable(_) => {
      tracing::warn!(event = "announcement_refused", %error);
      text(StatusCode::BAD_REQUEST, &line)
    }
  }
}

fn text(status: StatusCode, line: &str) -> Answer {
  let mut headers = HeaderMap::new();
  headers.insert(
    header::CONTENT_TYPE,
    HeaderValue::from_static("text/plain; charset=utf-8"),
  );
  Answer {
    status,
    headers,
    report: Report::IDLE,
    body: full_body(format!("{line}\n")),
  }
}
