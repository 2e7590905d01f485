use {
  crate::{
    Phase,
    announce::{AnnounceMessage, Announcement},
  },
  cactusyoke_http::{CallHandler, CallerRequest},
  cactusyoke_model::{Answer, CallFailure, NotRunReason, Report, full_body},
  http::{HeaderMap, HeaderValue, Method, StatusCode, header},
  http_body_util::BodyExt,
  ractor::{ActorRef, RpcReplyPort},
  tokio::sync::oneshot,
};

/// Answers the requests of the upstream to the announcement listener.
#[derive(Debug)]
pub(crate) struct AnnounceHandler {
  pub(crate) actor: ActorRef<AnnounceMessage>,
}

impl CallHandler for AnnounceHandler {
  async fn handle(&self, request: CallerRequest) -> Result<Answer, CallFailure> {
    let path = request.path.split('?').next().unwrap_or_default();
    match (path, &request.method) {
      ("/announce", &Method::PUT) => self.announce(request).await,
      ("/drain", &Method::POST) => self.step("/drain", AnnounceMessage::Drain).await,
      ("/leave", &Method::POST) => self.step("/leave", AnnounceMessage::Leave).await,
      ("/announce", _) => Ok(wrong_method("PUT")),
      ("/drain" | "/leave", _) => Ok(wrong_method("POST")),
      _ => Ok(text(
        StatusCode::NOT_FOUND,
        "send `PUT /announce`, `POST /drain` or `POST /leave`",
      )),
    }
  }
}

impl AnnounceHandler {
  async fn announce(&self, request: CallerRequest) -> Result<Answer, CallFailure> {
    let body = request
      .body
      .collect()
      .await
      .map_err(|_error| CallFailure::not_run(NotRunReason::BadRequest))?
      .to_bytes();
    match Announcement::from_json(&body) {
      Err(error) => {
        tracing::warn!(%error, "announcement refused");
        Ok(text(StatusCode::BAD_REQUEST, &error.to_string()))
      }
      Ok(announcement) => {
        let phase = self
          .ask(|port| AnnounceMessage::Announce(announcement, port))
          .await?;
        Ok(accepted(phase))
      }
    }
  }

  async fn step(
    &self,
    path: &str,
    message: fn(RpcReplyPort<Phase>) -> AnnounceMessage,
  ) -> Result<Answer, CallFailure> {
    match self.ask(message).await? {
      Phase::Gone if path == "/drain" => Ok(text(
        StatusCode::CONFLICT,
        "no upstream is announced: send `PUT /announce` first",
      )),
      phase => Ok(accepted(phase)),
    }
  }

  async fn ask(
    &self,
    message: impl FnOnce(RpcReplyPort<Phase>) -> AnnounceMessage,
  ) -> Result<Phase, CallFailure> {
    let stopped = || CallFailure::not_run(NotRunReason::Draining);
    let (sender, receiver) = oneshot::channel();
    self
      .actor
      .cast(message(sender.into()))
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

fn wrong_method(allowed: &'static str) -> Answer {
  let mut answer = text(
    StatusCode::METHOD_NOT_ALLOWED,
    &format!("the method is not supported here: use `{allowed}`"),
  );
  answer
    .headers
    .insert(header::ALLOW, HeaderValue::from_static(allowed));
  answer
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
