//! Responses to calls without an answer.

mod support;

use {
  cactusyoke_callers::{HeaderNames, Limits},
  cactusyoke_model::{CallFailure, NotRunReason, UnknownReason, empty_body},
  cactusyoke_standins::upstream::ReceivedResponse,
  http::Request,
  std::time::Duration,
  support::Listener,
  yare::parameterized,
};

async fn fail(failure: CallFailure) -> ReceivedResponse {
  fail_with_limits(Limits::default(), failure).await
}

async fn fail_with_limits(limits: Limits, failure: CallFailure) -> ReceivedResponse {
  let listener = Listener::start(limits, move |_request| async move { Err(failure) }).await;
  let request = Request::get("/").body(empty_body()).expect("valid");
  listener
    .client
    .exchange(listener.address, request)
    .await
    .expect("a whole answer")
}

/// Guards against a status or `retry-after` that makes a caller repeat what it should not, or give
/// up what it could repeat.
#[parameterized(
  shed = { NotRunReason::Shed, 503, "1" },
  evicted = { NotRunReason::Evicted, 503, "1" },
  queue_full = { NotRunReason::QueueFull, 503, "1" },
  deadline = { NotRunReason::Deadline, 503, "1" },
  draining = { NotRunReason::Draining, 503, "1" },
  no_upstream = { NotRunReason::NoUpstream, 503, "1" },
  no_route = { NotRunReason::NoRoute, 404, "" },
  no_preset = { NotRunReason::NoPreset, 503, "1" },
  unknown_key = { NotRunReason::UnknownKey, 401, "" },
  quarantined = { NotRunReason::Quarantined, 503, "" },
  no_retries = { NotRunReason::NoRetries, 503, "" },
  no_witnesses = { NotRunReason::NoWitnesses, 503, "5" },
  home_unreachable = { NotRunReason::HomeUnreachable, 503, "5" },
  limit = { NotRunReason::Limit, 429, "1" },
  withdrawn = { NotRunReason::Withdrawn, 503, "1" },
  key_mismatch = { NotRunReason::KeyMismatch, 503, "" },
  connection = { NotRunReason::Connection, 503, "1" },
  bad_request = { NotRunReason::BadRequest, 400, "" },
  cancelled = { NotRunReason::Cancelled, 503, "1" },
)]
#[test_macro(tokio::test)]
async fn not_run_responses(reason: NotRunReason, status: u16, retry_after: &str) {
  let received = fail(CallFailure::not_run(reason)).await;
  assert_eq!(received.status.as_u16(), status);
  assert_eq!(received.header("cactusyoke-outcome"), "not-run");
  assert_eq!(received.header("cactusyoke-reason"), reason.as_str());
  assert_eq!(received.header("retry-after"), retry_after);
  let line = received.text();
  assert!(line.starts_with(&format!("not run ({reason}): ")), "{line}");
  assert!(line.contains("send it again"), "{line}");
  assert_eq!(line.contains("`retry-after`"), !retry_after.is_empty());
  assert_eq!(line.find('\n'), Some(line.len() - 1));
}

/// Guards against a 401 response that does not name the scheme, which HTTP requires, and against
/// other refusals that ask for a key.
#[parameterized(
  unknown_key = { NotRunReason::UnknownKey, "Bearer" },
  no_route = { NotRunReason::NoRoute, "" },
)]
#[test_macro(tokio::test)]
async fn only_unknown_keys_are_asked_for(reason: NotRunReason, expected: &str) {
  let received = fail(CallFailure::not_run(reason)).await;
  assert_eq!(received.header("www-authenticate"), expected);
}

/// Guards against a `retry-after` that is lost, that is earlier than was decided, or that callers
/// of plain HTTP cannot read.
#[parameterized(
  whole_seconds = { false, NotRunReason::Shed, "1" },
  fractions = { true, NotRunReason::Shed, "0.075" },
  repair_delay_is_kept = { true, NotRunReason::NoWitnesses, "5.000" },
  no_retry = { true, NotRunReason::NoRetries, "" },
)]
#[test_macro(tokio::test)]
async fn refusals_carry_retry_after(fractional_retry: bool, reason: NotRunReason, expected: &str) {
  let names = HeaderNames {
    fractional_retry,
    ..HeaderNames::native().clone()
  };
  let limits = Limits {
    names: Box::leak(Box::new(names)),
    ..Limits::default()
  };
  let failure = CallFailure::not_run(reason).with_retry_delay(Duration::from_millis(75));
  let received = fail_with_limits(limits, failure).await;
  assert_eq!(received.header("retry-after"), expected);
}

/// Guards against an unknown outcome that looks like a refusal which is safe to repeat.
#[parameterized(
  deadline = { UnknownReason::Deadline, 504 },
  connection = { UnknownReason::Connection, 502 },
  bad_answer = { UnknownReason::BadAnswer, 502 },
  answer_expired = { UnknownReason::AnswerExpired, 502 },
  first_run = { UnknownReason::FirstRun, 502 },
  cancelled = { UnknownReason::Cancelled, 502 },
)]
#[test_macro(tokio::test)]
async fn unknown_responses(reason: UnknownReason, status: u16) {
  let received = fail(CallFailure::unknown(reason)).await;
  assert_eq!(received.status.as_u16(), status);
  assert_eq!(received.header("cactusyoke-outcome"), "unknown");
  assert_eq!(received.header("cactusyoke-reason"), reason.as_str());
  assert_eq!(received.header("retry-after"), "");
  let line = received.text();
  assert!(line.starts_with(&format!("unknown ({reason}): ")), "{line}");
  assert!(
    line
      .ends_with("; send it again only if it may run twice, or with the same `idempotency-key`\n")
  );
}
