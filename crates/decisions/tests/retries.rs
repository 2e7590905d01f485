//! Retry ledgers and the retry ratio.

use {
  cactusyoke_decisions::load::{Ledgers, RetryRatio},
  cactusyoke_model::{Level, NotRunReason, RequestId, Retries, SpanId},
  std::time::{Duration, Instant},
  yare::parameterized,
};

const SPAN: SpanId = SpanId(1);

/// Guards against wrong shares of an allowance, unused retries that are lost, and a level that is
/// not passed on.
#[test]
fn shares_are_halves_and_unused_parts_return() {
  let mut ledgers = Ledgers::new();
  ledgers.open(SPAN, RequestId(1), Retries(5));
  assert_eq!(ledgers.begin_call(SPAN, 1), Ok(Retries(3)));
  assert_eq!(ledgers.begin_call(SPAN, 2), Ok(Retries(1)));
  ledgers.end_call(SPAN, 1, Retries(2), false, Level(0x0200));
  ledgers.end_call(SPAN, 2, Retries::ZERO, false, Level::ALL);
  assert_eq!(ledgers.close(SPAN), Some((Retries(3), Level(0x0200))));
  assert_eq!(ledgers.close(SPAN), None);
}

/// Guards against an upstream that repeats failed calls without using up retries, on an open, a
/// closed or an unknown span.
#[test]
fn repeats_of_failed_calls_draw_retries() {
  let mut ledgers = Ledgers::new();
  ledgers.open(SPAN, RequestId(1), Retries(1));
  for expected in [
    Ok(Retries(1)),
    Ok(Retries::ZERO),
    Err(NotRunReason::NoRetries),
  ] {
    let begun = ledgers.begin_call(SPAN, 9);
    assert_eq!(begun, expected);
    ledgers.end_call(SPAN, 9, begun.unwrap_or_default(), true, Level::ALL);
  }
  ledgers.close(SPAN);
  ledgers.open(SPAN, RequestId(1), Retries(8));
  assert_eq!(ledgers.begin_call(SPAN, 9), Err(NotRunReason::NoRetries));
  let unknown = SpanId(77);
  assert_eq!(ledgers.begin_call(unknown, 9), Ok(Retries::ZERO));
  ledgers.end_call(unknown, 9, Retries(4), true, Level::ALL);
  assert_eq!(ledgers.begin_call(unknown, 9), Err(NotRunReason::NoRetries));
}

/// Guards against an upstream that hides its failed calls by making more calls than are recorded.
#[test]
fn calls_beyond_the_recorded_ones_count_as_repeats() {
  let mut ledgers = Ledgers::new();
  ledgers.open(SPAN, RequestId(1), Retries::ZERO);
  let begun = (0..1000).filter(|call| ledgers.begin_call(SPAN, *call).is_ok());
  assert_eq!(begun.count(), 64);
}

/// Guards against memory that grows with the number of requests.
#[test]
fn memory_is_bounded() {
  let mut ledgers = Ledgers::new();
  for span in 0..100_000 {
    ledgers.open(SpanId(span), RequestId(1), Retries(2));
    let _unused = ledgers.begin_call(SpanId(span << 32), 1);
    if span % 2 == 0 {
      ledgers.close(SpanId(span));
    }
  }
  assert!(ledgers.remembered_spans() <= 16_384 + 4096 + 1024);
}

/// Guards against more retries at once than the ratio and the bucket allow, and against none on a
/// route with few calls.
#[parameterized(
  ten_percent = { 10, 1000, 50 },
  few_calls = { 10, 5, 2 },
  none = { 0, 1000, 0 },
)]
fn ratio_bounds_a_burst_of_retries(percent: u8, calls: u32, expected: u32) {
  let now = Instant::now();
  let mut ratio = RetryRatio::new(percent, now);
  for _ in 0..calls {
    ratio.record_call(now);
  }
  let retries = (0..1000).filter(|_| ratio.try_retry(now)).count();
  assert_eq!(retries, expected as usize);
}

/// Guards against a long-term share of retries above the configured one.
#[test]
fn ratio_holds_over_time() {
  let start = Instant::now();
  let mut ratio = RetryRatio::new(20, start);
  let mut retries = 0;
  for call in 0..100_000_u32 {
    let now = start + Duration::from_millis(1) * call;
    ratio.record_call(now);
    retries += u32::from(ratio.try_retry(now));
  }
  // The time-based refill adds one retry per second.
  assert!((20_000..=20_110).contains(&retries), "{retries}");
}
