//! HTTP responses for calls without an answer: not run, or of unknown outcome.

use {
  bytes::Bytes,
  cactusyoke_model::{CallFailure, NotRunReason, UnknownReason},
  http::{HeaderName, HeaderValue, Response, StatusCode, header},
  std::time::Duration,
};

/// Header that says how a request ended: `answered`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("cactusyoke-outcome");

/// Header that says why a request was not answered.
pub const REASON_HEADER: HeaderName = HeaderName::from_static("cactusyoke-reason");

/// Retry delay for an overloaded or restarting service, where the failure does not carry its own.
const RETRY_SOON: Duration = Duration::from_secs(1);

/// Retry delay for an unreachable data centre or unreachable witnesses, which return only after a
/// roster change or a repair.
const RETRY_LATER: Duration = Duration::from_secs(5);

/// Response for a call without an answer. `fractional_retry` allows fractions of a second in
/// `retry-after`.
pub(crate) fn failure_response(failure: &CallFailure, fractional_retry: bool) -> Response<Bytes> {
  match failure {
    CallFailure::NotRun {
      reason,
      retry_delay,
      ..
    } => {
      let (status, retry_after, text) = not_run(*reason);
      let retry_after = match (retry_after, retry_delay) {
        (Some(RETRY_SOON), Some(after)) => Some(*after),
        (default, _) => default,
      };
      let text = format!("not run ({reason}): {text}");
      let retry_after = retry_after.map(|after| retry_after_value(after, fractional_retry));
      let mut response = outcome_response(status, "not-run", reason.as_str(), retry_after, &text);
      if status == StatusCode::UNAUTHORIZED {
        let scheme = HeaderValue::from_static("Bearer");
        response
          .headers_mut()
          .insert(header::WWW_AUTHENTICATE, scheme);
      }
      response
    }
    CallFailure::Unknown { reason } => {
      let (status, text) = unknown(*reason);
      let text = format!(
        "unknown ({reason}): {text}; send it again only if it may run twice, or with the same `idempotency-key`"
      );
      outcome_response(status, "unknown", reason.as_str(), None, &text)
    }
  }
}

/// Response of the node itself, with one line of text as its body.
pub(crate) fn outcome_response(
  status: StatusCode,
  outcome: &'static str,
  reason: &'static str,
  retry_after: Option<HeaderValue>,
  line: &str,
) -> Response<Bytes> {
  let mut response = Response::new(Bytes::from(format!("{line}\n")));
  *response.status_mut() = status;
  let headers = response.headers_mut();
  headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
  headers.insert(REASON_HEADER, HeaderValue::from_static(reason));
  headers.insert(
    header::CONTENT_TYPE,
    HeaderValue::from_static("text/plain; charset=utf-8"),
  );
  if let Some(value) = retry_after {
    headers.insert(header::RETRY_AFTER, value);
  }
  response
}

/// Value of `retry-after`: seconds with milliseconds as a fraction, or whole seconds rounded up.
fn retry_after_value(after: Duration, fractional_retry: bool) -> HeaderValue {
  let millis = after.as_millis() as u64;
  if !fractional_retry {
    return HeaderValue::from(millis.div_ceil(1000));
  }
  let text = format!("{}.{:03}", millis / 1000, millis % 1000);
  HeaderValue::from_str(&text).expect("digits and a point")
}

fn not_run(reason: NotRunReason) -> (StatusCode, Option<Duration>, &'static str) {
  let unavailable = StatusCode::SERVICE_UNAVAILABLE;
  let later = Some(RETRY_LATER);
  match reason {
    NotRunReason::Shed => retry_soon(
      "the service is overloaded and serves more important requests first; send it again after the time in `retry-after`",
    ),
    NotRunReason::Evicted => retry_soon(
      "a more important request took its place in the queue; send it again after the time in `retry-after`",
    ),
    NotRunReason::QueueFull => {
      retry_soon("the queue is full; send it again after the time in `retry-after`")
    }
    NotRunReason::Deadline => retry_soon(
      "it could not start before its deadline; send it again after the time in `retry-after`",
    ),
    NotRunReason::Draining => retry_soon(
      "the upstream or its node is leaving; send it again after the time in `retry-after`",
    ),
    NotRunReason::NoUpstream => retry_soon(
      "no upstream of the service can be reached; send it again after the time in `retry-after`",
    ),
    NotRunReason::Refused => retry_soon(
      "the upstream refused it without running it; send it again after the time in `retry-after`",
    ),
    NotRunReason::NoPreset => {
      retry_soon("the node has no configuration yet; send it again after the time in `retry-after`")
    }
    NotRunReason::NoRoute => (
      StatusCode::NOT_FOUND,
      None,
      "no route of the preset in force matches its method and path; do not send it again unchanged",
    ),
    NotRunReason::UsageCap => (
      StatusCode::TOO_MANY_REQUESTS,
      Some(RETRY_SOON),
      "the tenant has sent as many requests as its usage cap allows; send it again after the time in `retry-after`",
    ),
    NotRunReason::UnknownKey => (
      StatusCode::UNAUTHORIZED,
      None,
      "its route needs `authorization: Bearer KEY` with the key of a tenant; do not send it again unchanged",
    ),
    NotRunReason::BadRequest => (
      StatusCode::BAD_REQUEST,
      None,
      "the request is malformed; do not send it again unchanged",
    ),
    NotRunReason::Quarantined => (
      unavailable,
      None,
      "earlier runs of the same request crashed the service, and it is refused for a time; do not send it again unchanged",
    ),
    NotRunReason::NoRetries => (
      unavailable,
      None,
      "the retries of its call tree are used up; do not send it again for the same root request",
    ),
    NotRunReason::NoWitnesses => (
      unavailable,
      later,
      "too few nodes that keep its `idempotency-key` can be reached; send it again with the same key after the time in `retry-after`",
    ),
    NotRunReason::HomeUnreachable => (
      unavailable,
      later,
      "the data centre that owns its `idempotency-key` cannot be reached; send it again with the same key after the time in `retry-after`",
    ),
    NotRunReason::Limit => (
      StatusCode::TOO_MANY_REQUESTS,
      Some(RETRY_SOON),
      "a limit on keys, connections, bytes or the rate of requests is reached; send it again after the time in `retry-after`",
    ),
    NotRunReason::Withdrawn => retry_soon(
      "the run of its `idempotency-key` was withdrawn; send it again with the same key after the time in `retry-after`",
    ),
    NotRunReason::KeyMismatch => (
      unavailable,
      None,
      "its `idempotency-key` belongs to a different request; send it again with a new key",
    ),
    NotRunReason::Connection => retry_soon(
      "the connection to the upstream was lost before the request left; send it again after the time in `retry-after`",
    ),
    NotRunReason::Cancelled => retry_soon(
      "it was cancelled before it started; send it again after the time in `retry-after`",
    ),
    NotRunReason::Busy => retry_soon(
      "all slots of the instance were in use; send it again after the time in `retry-after`",
    ),
  }
}

/// Status, retry delay and text of a refusal that may soon be different.
const fn retry_soon(text: &'static str) -> (StatusCode, Option<Duration>, &'static str) {
  (StatusCode::SERVICE_UNAVAILABLE, Some(RETRY_SOON), text)
}

const fn unknown(reason: UnknownReason) -> (StatusCode, &'static str) {
  match reason {
    UnknownReason::Deadline => (
      StatusCode::GATEWAY_TIMEOUT,
      "its deadline passed while it may have been running",
    ),
    UnknownReason::Connection => (
      StatusCode::BAD_GATEWAY,
      "the connection was lost while it may have been running",
    ),
    UnknownReason::BadAnswer => (
      StatusCode::BAD_GATEWAY,
      "the upstream ran it but did not answer with usable HTTP",
    ),
    UnknownReason::AnswerExpired => (
      StatusCode::BAD_GATEWAY,
      "its `idempotency-key` ran, but the answer is no longer kept",
    ),
    UnknownReason::FirstRun => (
      StatusCode::BAD_GATEWAY,
      "the run of its `idempotency-key` ended without a known outcome",
    ),
    UnknownReason::Cancelled => (
      StatusCode::BAD_GATEWAY,
      "it was cancelled while it may have been running",
    ),
  }
}
