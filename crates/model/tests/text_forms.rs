//! Text forms of ids and units, division of retries, homes of keys and admission by level.

use {
  cactusyoke_model::{
    ByteSize, ClassRank, Context, ContextError, DataCentre, IdempotencyKey, Level, Priority,
    RequestId, RequestRate, Retries, ServiceName, SpanId,
  },
  std::time::Duration,
  yare::parameterized,
};

// Guards against a context that changes on its way through an upstream.
#[test]
fn a_context_reads_back_as_written() {
  let context = Context {
    root: RequestId(0xabc),
    span: SpanId(7),
    priority: Priority::new(ClassRank(3), RequestId(0xabc)),
    remaining: Duration::from_millis(1500),
    retries: Retries(2),
  };
  assert_eq!(context.to_string().parse(), Ok(context));
}

// Guards against accepting a context of another version, with missing fields or bad numbers.
#[parameterized(
  empty = { "" },
  version = { "2;abc;7;0300;1500;2" },
  short = { "1;abc;7;0300;1500" },
  number = { "1;abc;7;0300;1500;many" },
)]
fn a_damaged_context_is_refused(text: &str) {
  assert_eq!(text.parse::<Context>(), Err(ContextError));
}

// Guards against a size that is scaled or printed with the wrong unit.
#[parameterized(
  bytes = { "17B", 17 },
  kib = { "64KiB", 65_536 },
  mib = { "16MiB", 16_777_216 },
)]
fn a_size_reads_back_as_written(text: &str, bytes: u64) {
  assert_eq!(text.parse(), Ok(ByteSize(bytes)));
  assert_eq!(ByteSize(bytes).to_string(), text);
}

// Guards against a size whose unit is guessed.
#[test]
fn a_size_without_a_unit_is_refused() {
  let error = "16".parse::<ByteSize>().expect_err("the unit is missing");
  assert_eq!(
    error.to_string(),
    "`16` is not a size: use a whole number with B, KiB, MiB or GiB, such as `16MiB`"
  );
}

// Guards against a rate that would let nothing through, or any number of requests.
#[parameterized(
  empty = { "" },
  negative = { "-1" },
  not_a_number = { "NaN" },
  infinite = { "inf" },
  unit = { "30/s" },
)]
fn a_rate_that_is_no_rate_is_refused(text: &str) {
  let error = text.parse::<RequestRate>().expect_err("not a rate");
  assert_eq!(
    error.to_string(),
    format!("`{text}` is not a rate: use a decimal number of requests per second, such as `30.5`")
  );
}

// Guards against a rate that changes between its text and its number.
#[test]
fn a_rate_reads_back_as_written() {
  let rate = "30.7".parse::<RequestRate>().expect("a rate");
  assert_eq!(rate.to_string(), "30.7");
}

// Guards against names that differ only in letter case.
#[test]
fn a_name_with_capitals_is_refused() {
  let error = "Orders"
    .parse::<ServiceName>()
    .expect_err("capitals are not allowed");
  assert_eq!(
    error.to_string(),
    "`Orders` is not a name: use 1 to 64 of a-z, 0-9, `-` and `_`, beginning with a letter"
  );
}

// Guards against shares rounded down, with which the last retry could never be used, and against
// shares whose sum exceeds the allowance, with which retries would multiply down the call chain.
#[test]
fn shares_of_an_allowance_add_up_to_it() {
  let mut left = Retries(5);
  let shares = std::iter::from_fn(|| Some(left.take_share()).filter(|share| share.0 > 0));
  assert_eq!(
    shares.collect::<Vec<Retries>>(),
    [Retries(3), Retries(1), Retries(1)]
  );
  assert!(!left.take_one());
}

// Guards against data centres that compute different homes for a key, depending on the order of
// their lists: both could run it.
#[test]
fn a_key_has_one_home() {
  let centre = |name: &str| name.parse::<DataCentre>().expect("the name is correct");
  let centres = [centre("concord"), centre("keene"), centre("nashua")];
  let reordered = [centre("nashua"), centre("concord"), centre("keene")];
  for number in 0..100 {
    let key = format!("order-{number}")
      .parse::<IdempotencyKey>()
      .expect("the key is correct");
    assert_eq!(key.home(&centres), key.home(&reordered));
  }
  let named = "keene/order-1"
    .parse::<IdempotencyKey>()
    .expect("the key is correct");
  assert_eq!(named.home(&centres), Some(&centre("keene")));
}

// Guards against a level that sheds a more important request before a less important one.
#[test]
fn a_level_sheds_the_less_important_first() {
  let (first, last) = (Priority(0), Priority::new(ClassRank::MAX, RequestId(1)));
  assert!(Level::ALL.admits(last));
  assert!(Level(1).admits(first) && !Level(1).admits(last));
  assert!(!Level::NONE.admits(first));
}
