use {
  super::{BodySender, Link, LinkBody, ReceivedHead, SendResult, Stream},
  crate::wire::ResetReason,
  cactusyoke_model::{Answer, Body, BodyError, CallFailure, UnknownReason, empty_body},
  http_body_util::BodyExt,
  std::{
    future::poll_fn,
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
  },
  tokio::time::timeout_at,
};

/// Time past the deadline during which a refusal by the peer is still accepted. The peer computes
/// its deadline from the remaining time when the call arrives, so a refusal at that deadline is
/// sent after this side's deadline. A refusal tells the caller more than an unknown outcome.
const REFUSAL_GRACE: Duration = Duration::from_millis(20);

/// Call that waits for its outcome; dropping it cancels the call.
#[derive(Debug)]
pub struct PendingCall {
  link: Arc<Link>,
  stream: Arc<Stream>,
  upload: Option<BodySender>,
  deadline: Instant,
  /// The call is reset on drop.
  armed: bool,
}

impl PendingCall {
  /// Call that was just opened; `body` is `None` when the call has none.
  pub fn new(link: Arc<Link>, stream: Arc<Stream>, body: Option<Body>, deadline: Instant) -> Self {
    let upload = body.map(|body| BodySender::new(Arc::clone(&link), Arc::clone(&stream), body));
    Self {
      link,
      stream,
      upload,
      deadline,
      armed: true,
    }
  }

  fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Result<ReceivedHead, CallFailure>> {
    let sent = self.upload.as_mut().map(|upload| upload.poll(cx));
    if let Some(Poll::Ready(sent)) = sent {
      self.upload = None;
      if let SendResult::Failed(error) = sent {
        self.link.reset(&self.stream, error.into());
        let reason = match error {
          BodyError::Deadline => UnknownReason::Deadline,
          BodyError::ConnectionLost | BodyError::Cancelled | BodyError::Length => {
            UnknownReason::Cancelled
          }
        };
        return Poll::Ready(Err(CallFailure::unknown(reason)));
      }
    }
    self.stream.poll_outcome(cx)
  }

  /// Waits for the head of the answer. The rest of the request body is sent in the background.
  pub async fn outcome(mut self) -> Result<Answer, CallFailure> {
    let limit = self.deadline + REFUSAL_GRACE;
    let outcome = timeout_at(limit.into(), poll_fn(|cx| self.poll(cx))).await;
    let Ok(outcome) = outcome else {
      self.armed = false;
      self.link.reset(&self.stream, ResetReason::Deadline);
      return Err(CallFailure::unknown(UnknownReason::Deadline));
    };
    self.armed = false;
    let head = outcome?;
    if let Some(upload) = self.upload.take() {
      tokio::spawn(finish_upload(
        Arc::clone(&self.link),
        Arc::clone(&self.stream),
        upload,
      ));
    }
    let body = LinkBody::answer(
      Arc::clone(&self.link),
      Arc::clone(&self.stream),
      self.deadline,
    );
    let body = if http_body::Body::is_end_stream(&body) {
      empty_body()
    } else {
      body.boxed_unsync()
    };
    Ok(Answer {
      status: head.status,
      headers: head.headers,
      report: head.report,
      body,
    })
  }
}

async fn finish_upload(link: Arc<Link>, stream: Arc<Stream>, mut upload: BodySender) {
  if let SendResult::Failed(error) = poll_fn(|cx| upload.poll(cx)).await {
    link.reset(&stream, error.into());
  }
}

impl Drop for PendingCall {
  fn drop(&mut self) {
    if self.armed {
      self.link.reset(&self.stream, ResetReason::Cancelled);
    }
  }
}
