//! Check of an answer's head, wherever one is read.
//!
//! HTTP parsers accept more than HTTP allows: any status of three digits, lengths that differ where
//! no body is expected, and codings that nobody undoes. An answer that breaks these rules says
//! nothing about the request, whatever its other headers say.

use {
  http::{HeaderMap, StatusCode, header},
  std::fmt::{self, Display, Formatter},
};

/// Statuses of final answers.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// Why the head of an answer is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerHeadError {
  /// The status is not that of a final answer.
  Status,
  /// The length is not a number, or differs from another one, or stands beside a coding.
  Length,
  /// The body has a transfer coding other than chunks.
  Coding,
}

impl Display for AnswerHeadError {
  fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
    f.write_str(match self {
      Self::Status => "its status is not that of a final answer",
      Self::Length => "its length is unreadable or ambiguous",
      Self::Coding => "its transfer coding is not chunked",
    })
  }
}

impl std::error::Error for AnswerHeadError {}

/// Checks the status, the length and the transfer coding of an answer.
pub fn check_answer_head(status: StatusCode, headers: &HeaderMap) -> Result<(), AnswerHeadError> {
  if !FINAL_STATUSES.contains(&status.as_u16()) {
    return Err(AnswerHeadError::Status);
  }
  let lengths = headers
    .get_all(header::CONTENT_LENGTH)
    .iter()
    .flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
  let mut first = None;
  for length in lengths {
    let length = parse_length(length).ok_or(AnswerHeadError::Length)?;
    if *first.get_or_insert(length) != length {
      return Err(AnswerHeadError::Length);
    }
  }
  let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
  match (codings.next(), codings.next()) {
    (None, _) => Ok(()),
    (Some(_), _) if first.is_some() => Err(AnswerHeadError::Length),
    (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => Ok(()),
    (Some(_), _) => Err(AnswerHeadError::Coding),
  }
}

fn parse_length(text: &[u8]) -> Option<u64> {
  let text = std::str::from_utf8(text).ok()?.trim_matches([' ', '\t']);
  // `u64::from_str` also accepts a sign.
  let digits = text.bytes().all(|byte| byte.is_ascii_digit());
  text.parse().ok().filter(|_length| digits)
}
