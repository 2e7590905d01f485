//! Check of an answer's status, length and transfer coding.

use {
  cactusyoke_model::{AnswerHeadError, check_answer_head},
  http::{HeaderMap, HeaderName, HeaderValue, StatusCode},
  yare::parameterized,
};

const LENGTH: &str = "content-length";
const CODING: &str = "transfer-encoding";

fn check(status: u16, headers: &[(&str, &str)]) -> Result<(), AnswerHeadError> {
  let pairs = headers.iter().map(|(name, value)| {
    let name = name.parse::<HeaderName>().expect("a name");
    (name, HeaderValue::from_str(value).expect("a value"))
  });
  let mut map = HeaderMap::new();
  for (name, value) in pairs {
    map.append(name, value);
  }
  check_answer_head(StatusCode::from_u16(status).expect("a status"), &map)
}

/// Guards against a status outside HTTP that is taken for an answer, and against rejecting one within.
#[parameterized(
  interim = { 100, false },
  switched = { 101, false },
  last_interim = { 199, false },
  first = { 200, true },
  unassigned = { 299, true },
  last = { 599, true },
  above = { 600, false },
  greatest = { 999, false },
)]
fn only_final_statuses_pass(status: u16, passes: bool) {
  assert_eq!(check(status, &[]).is_ok(), passes);
}

/// Guards against a body whose end another reader would see elsewhere.
#[parameterized(
  none = { &[], Ok(()) },
  one = { &[(LENGTH, "2")], Ok(()) },
  equal = { &[(LENGTH, "2"), (LENGTH, "2")], Ok(()) },
  equal_in_one = { &[(LENGTH, "2, 2")], Ok(()) },
  differ = { &[(LENGTH, "2"), (LENGTH, "3")], Err(AnswerHeadError::Length) },
  differ_in_one = { &[(LENGTH, "2,3")], Err(AnswerHeadError::Length) },
  sign = { &[(LENGTH, "+2")], Err(AnswerHeadError::Length) },
  negative = { &[(LENGTH, "-2")], Err(AnswerHeadError::Length) },
  empty = { &[(LENGTH, "")], Err(AnswerHeadError::Length) },
  empty_part = { &[(LENGTH, "2,")], Err(AnswerHeadError::Length) },
  letters = { &[(LENGTH, "0x2")], Err(AnswerHeadError::Length) },
  too_large = { &[(LENGTH, "18446744073709551616")], Err(AnswerHeadError::Length) },
  chunks = { &[(CODING, "Chunked")], Ok(()) },
  length_beside_chunks = { &[(LENGTH, "2"), (CODING, "chunked")], Err(AnswerHeadError::Length) },
  gzip = { &[(CODING, "gzip")], Err(AnswerHeadError::Coding) },
  gzip_in_chunks = { &[(CODING, "gzip, chunked")], Err(AnswerHeadError::Coding) },
  chunks_twice = { &[(CODING, "chunked"), (CODING, "chunked")], Err(AnswerHeadError::Coding) },
)]
fn lengths_and_codings_are_unambiguous(
  headers: &[(&str, &str)],
  expected: Result<(), AnswerHeadError>,
) {
  assert_eq!(check(200, headers), expected);
  assert_eq!(check(503, headers), expected);
}
